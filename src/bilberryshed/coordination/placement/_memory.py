"""Free memory of backend servers, which crash if the requests that they hold exceed it."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberryshed.coordination._backend_view import BackendDemand, BackendView


def with_room(views: Sequence["BackendView"], demand: "BackendDemand") -> Sequence["BackendView"]:
    """Return the backend servers that have room for a request, or all if none has.

    Load reports name the work of other routers, which is at least the tokens that their requests
    hold, as it weights outputs. If no server has room by that bound, the requests of the others are
    taken to hold the same share of their work as this one.
    """
    if not demand.capacity:
        return views
    limit = demand.capacity - demand.held
    roomy = [view for view in views if view.held + view.peers_work <= limit]
    if not roomy:
        share = demand.held / demand.work
        roomy = [view for view in views if view.held + view.peers_work * share <= limit]
    return roomy or views
