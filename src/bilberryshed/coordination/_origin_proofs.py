"""Decision which software version began a stream that is taken up.

Three things prove it, and each is void without what it rests on:

==============================  ==================================================================
proof                           rests on
==============================  ==================================================================
a router or the store lists it  nothing else: what was listed stays true
one version is possible by now  servers and versions read after the take-up came
one version was possible when   the same, all rows with streams read, and every router that may
the last router ended           relay the stream has denied it since: then a router began it that
                                has ended
==============================  ==================================================================

A router that has not responded may have begun the stream, whatever keeps it from responding: it is
frozen, cut off, or slow. The versions that are possible follow from :class:`ServedVersions`.
"""

from dataclasses import dataclass

from bilberryshed.coordination._served_versions import ServedVersions
from bilberryshed.coordination._stream_origins import Origin


@dataclass(slots=True, frozen=True)
class OriginEvidence:
    """What a router has found out about a stream since it was asked to take it up.

    :param services: services that may have begun it
    :param known: origin that a router or the store lists
    :param is_fresh: whether servers and versions have been read since
    :param clock: clock of the store, in seconds
    :param ended_at: clock of the store when the last router ended, ``None`` unless every other
        router has denied the stream since, and all rows with streams have been read
    """

    services: tuple[str, ...]
    known: Origin | None
    is_fresh: bool
    clock: float
    ended_at: float | None = None


def prove_origin(served: ServedVersions, evidence: OriginEvidence) -> Origin | None:
    """Return the origin of a stream, ``None`` if it is not certain."""
    if evidence.known is not None:
        return evidence.known
    if not evidence.is_fresh:
        return None
    found = _only(served, evidence.services, evidence.clock)
    if found is None and evidence.ended_at is not None:
        found = _only(served, evidence.services, evidence.ended_at)
    return found


def _only(served: ServedVersions, services: tuple[str, ...], until: float) -> Origin | None:
    """Return the only version that can have begun a stream until a time of the store."""
    possible = [Origin(s, version) for s in services for version in served.possible(s, until)]
    return possible[0] if len(possible) == 1 else None
