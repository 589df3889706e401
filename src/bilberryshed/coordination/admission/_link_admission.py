"""Whether a request is refused because of what waits to be sent over the VM's network link.

Callers are hashed onto gateways, so most retries of a refused request come back, and the request
has used the receive side already. A refusal therefore helps only where the send side makes the
request late; :mod:`_link_readiness` moves the callers.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LinkDemand:
    """What a new request needs in time.

    :param target: latency target of its route in seconds
    :param time_left: seconds until its deadline
    :param is_urgent: whether it has the highest priority or resumes a stream
    """

    target: float
    time_left: float
    is_urgent: bool


def longest_wait(demand: LinkDemand, wait_ratio: float, peers_have_room: bool) -> float:
    """Return the seconds that a request may wait for the link before it is refused.

    :param wait_ratio: share of its latency target, or of the time to its deadline if it is urgent
    :param peers_have_room: whether a retry may reach a gateway of the zone that is not full
    """
    if not peers_have_room:
        return demand.time_left
    return wait_ratio * (demand.time_left if demand.is_urgent else demand.target)
