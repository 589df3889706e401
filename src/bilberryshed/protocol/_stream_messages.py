"""Messages about the software versions that began streams."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(95)
@dataclass(slots=True, frozen=True)
class StreamGroup:
    """Streams that servers of one version of a service began.

    :param version: empty if it is not certain, whatever was reported before
    :param keys: keys of the streams
    """

    service: str
    version: str
    keys: tuple[int, ...]


@register_message(96)
@dataclass(slots=True, frozen=True)
class StreamsNotice:
    """Report of streams that a gateway relays, to its hub."""

    groups: tuple[StreamGroup, ...]


@register_message(97)
@dataclass(slots=True, frozen=True)
class OriginRequest:
    """Question which version began a stream.

    :param ask: id of this request
    :param services: services that may have begun it
    """

    ask: str
    key: int
    services: tuple[str, ...]


@register_message(100)
@dataclass(slots=True, frozen=True)
class OriginSearch:
    """Question which version began a stream, to be looked up in the store, too.

    It comes from a gateway that does not reach the store.

    :param ask: id of this request
    :param services: services that may have begun it
    """

    ask: str
    key: int
    services: tuple[str, ...]


@register_message(98)
@dataclass(slots=True, frozen=True)
class OriginResponse:
    """Response to :class:`OriginRequest` or :class:`OriginSearch`.

    :param version: ``None`` if the origin is not known
    """

    ask: str
    service: str
    version: str | None


@register_message(111)
@dataclass(slots=True, frozen=True)
class KnownStreamsRequest:
    """Question to every linked gateway which of some streams it knows.

    :param ask: id of this request
    :param keys: keys of the streams
    """

    ask: str
    keys: tuple[int, ...]


@register_message(112)
@dataclass(slots=True, frozen=True)
class KnownStreamsResponse:
    """Response to :class:`KnownStreamsRequest`; the streams that it does not name are not known.

    :param groups: streams that are known
    """

    ask: str
    groups: tuple[StreamGroup, ...]
