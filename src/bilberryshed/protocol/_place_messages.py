"""Messages between gateways about the places to which requests may be sent."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(101)
@dataclass(slots=True, frozen=True)
class EvacuationNotice:
    """All zones that are evacuated, as of a state of the store.

    :param epoch: epoch of the store
    :param version: version of the operators' table
    :param zones: zones whose evacuation that state orders
    :param missing: zones that stay evacuated although it lacks the order, as the store was restored
    """

    epoch: int
    version: int
    zones: tuple[str, ...]
    missing: tuple[str, ...]
