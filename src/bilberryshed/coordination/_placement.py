"""Which of the backend servers that are open takes a request.

Load answered: many prompts with the same shared parts at once, and long prompts that are read one
after another while the first events of all others wait.
"""

from collections.abc import Sequence

from bilberryshed.coordination._backend_view import BackendDemand, BackendView
from bilberryshed.coordination._rendezvous import owner

LOAD_MARGIN = 1.25  # times the mean work, above which the next backend server takes a prompt
LOAD_SLACK = 36_000  # tokens of work beyond the margin that do no harm
REPREFILL_WEIGHT = 3  # times its tokens, that a shared part counts where it would be read again


def place_plain(views: Sequence[BackendView], zone: str) -> BackendView:
    """Choose for a request without a prompt: the least busy, of these one in the zone."""
    return min(views, key=lambda v: (v.total_running, v.server.zone != zone, v.server.id))


def place_prompt(now: float, views: Sequence[BackendView], demand: BackendDemand) -> BackendView:
    """Choose for a prompt.

    Of the backend servers that do not have clearly more work than the mean it goes where the
    fewest tokens are read before its first event. Shared parts that would be read again count
    several times, as all prompts behind them wait too. So a part stays on one backend server until
    prompts queue there, then spreads to a second one, and both share its prompts.
    """
    underloaded = _underloaded(views, demand)
    if not underloaded:
        return min(views, key=lambda view: view.total_work)
    home = owner(demand.affinity, (view.server.id for view in underloaded))
    return min(
        underloaded, key=lambda view: (_cost(now, view, demand, home), view.server.id != home)
    )


def _underloaded(views: Sequence[BackendView], demand: BackendDemand) -> list[BackendView]:
    """Return those that do not have clearly more work than the mean."""
    mean = (sum(view.total_work for view in views) + demand.work) / len(views)
    limit = LOAD_MARGIN * mean + LOAD_SLACK
    return [view for view in views if view.total_work + demand.work <= limit]


def _cost(now: float, view: BackendView, demand: BackendDemand, home: str | None) -> int:
    """Return the tokens read before a prompt's first event, weighted.

    :param home: the backend server on which a part that no router has sent yet is read first
    """
    cost = view.total_unread + demand.own
    if not view.has_cached(now, demand.affinity) and view.server.id != home:
        cost += REPREFILL_WEIGHT * demand.shared
    return cost


def prefill_tokens(now: float, view: BackendView, demand: BackendDemand) -> int:
    """Return the tokens of a prompt that a backend server has to read."""
    return demand.own if view.has_cached(now, demand.affinity) else demand.own + demand.shared
