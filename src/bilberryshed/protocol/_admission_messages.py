"""Messages between routers about the load of their network links."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(107)
@dataclass(slots=True, frozen=True)
class LinkStateNotice:
    """Report of a router about its VM's network link, on a change and every few seconds while full.

    :param is_full: whether the link is full
    :param is_away: whether the router has given up readiness for that
    :param use: use of the link when it did, else the present one, as a share of its capacity
    :param age: seconds since that was so
    """

    is_full: bool
    is_away: bool
    use: float
    age: float
