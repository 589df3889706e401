"""Placement of a request on one of the available backend servers.

The policy addresses two load patterns: bursts of prompts with the same shared prefix, and long
prompts, which are prefilled one after another and delay the first events of all others.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from bilberryshed.coordination._rendezvous import owner

if TYPE_CHECKING:
    from bilberryshed.coordination._backend_view import BackendDemand, BackendView

LOAD_MARGIN = 1.25  # multiple of the mean work above which a backend server gets no more prompts
LOAD_SLACK = 36_000  # tokens of work that are tolerated above that multiple
REPREFILL_WEIGHT = 3  # weight of a shared prefix's tokens where it would be prefilled again


def place_plain(views: Sequence["BackendView"], zone: str) -> "BackendView":
    """Choose for a request without a prompt: the fewest requests, then the same zone.

    Ties go to another backend server at each router. By the lowest id, all routers that decide
    between two load reports would choose the same one.
    """
    return min(views, key=lambda v: (v.total_running, v.server.zone != zone, -v.tie_rank))


def place_prompt(
    now: float, views: Sequence["BackendView"], demand: "BackendDemand"
) -> "BackendView":
    """Choose for a prompt.

    Among the backend servers whose work is not clearly above the mean, choose the one with the
    shortest expected time until the prompt's first event. A shared prefix that would be
    prefilled again is weighted by ``REPREFILL_WEIGHT``, because all prompts queued behind it wait
    too. So prompts of a prefix stay on one backend server until they queue there; then the prefix
    spreads to a second one, and both share its prompts.
    """
    underloaded = _underloaded(views, demand)
    if not underloaded:
        return min(views, key=lambda view: (_busy(view), -view.tie_rank))
    home = owner(demand.affinity, (view.server.id for view in underloaded))
    return min(
        underloaded,
        key=lambda v: (_first_event_ms(now, v, demand, home), v.server.id != home, -v.tie_rank),
    )


def _underloaded(views: Sequence["BackendView"], demand: "BackendDemand") -> list["BackendView"]:
    """Return the backend servers whose work would stay within the margin above the mean."""
    mean = (sum(map(_busy, views)) + demand.work) / len(views)
    limit = LOAD_MARGIN * mean + LOAD_SLACK
    return [v for v in views if _busy(v) + demand.work * v.estimate.slowness <= limit]


def _busy(view: "BackendView") -> float:
    """Return the work of a backend server in tokens that a server of mean speed does meanwhile."""
    return view.total_work * view.estimate.slowness


def _first_event_ms(
    now: float, view: "BackendView", demand: "BackendDemand", home: str | None
) -> float:
    """Return the weighted milliseconds expected until a prompt's first event.

    :param home: id of the backend server that prefills a prefix which no router has sent yet
    """
    cost = view.total_unread + demand.own
    if not view.has_cached(now, demand.affinity) and view.server.id != home:
        cost += REPREFILL_WEIGHT * demand.shared
    return view.estimate.expected_ms(cost)


def prefill_tokens(now: float, view: "BackendView", demand: "BackendDemand") -> int:
    """Return the tokens of a prompt that a backend server has to prefill."""
    return demand.own if view.has_cached(now, demand.affinity) else demand.own + demand.shared
