"""Which of the backend servers that are open takes a request.

Load answered: many prompts with the same shared parts at once, and long prompts that are read one
after another while the first events of all others wait.
"""

from collections.abc import Sequence

from bilberryshed.coordination._backend_view import BackendView, Demand
from bilberryshed.coordination._rendezvous import owner

LOAD_MARGIN = 1.25  # times the mean work, above which the next backend server takes a prompt
LOAD_SLACK = 36_000  # tokens of work beyond the margin that do no harm
REREAD_WEIGHT = 3  # times its tokens, that a shared part counts where it would be read again


def place_plain(views: Sequence[BackendView], zone: str) -> BackendView:
    """Choose for a request without a prompt: the least busy, of these one in the zone."""
    return min(views, key=lambda v: (v.all_running, v.server.zone != zone, v.server.id))


def place_prompt(now: float, views: Sequence[BackendView], demand: Demand) -> BackendView:
    """Choose for a prompt.

    Of the backend servers that do not have clearly more work than the mean it goes where the
    fewest tokens are read before its first event. Shared parts that would be read again count
    several times, as all prompts behind them wait too. So a part stays on one backend server until
    prompts queue there, then spreads to a second one, and both share its prompts.
    """
    light = _light(views, demand)
    if not light:
        return min(views, key=lambda view: view.all_work)
    home = owner(demand.affinity, (view.server.id for view in light))
    return min(light, key=lambda view: (_cost(now, view, demand, home), view.server.id != home))


def _light(views: Sequence[BackendView], demand: Demand) -> list[BackendView]:
    """Return those that do not have clearly more work than the mean."""
    mean = (sum(view.all_work for view in views) + demand.work) / len(views)
    limit = LOAD_MARGIN * mean + LOAD_SLACK
    return [view for view in views if view.all_work + demand.work <= limit]


def _cost(now: float, view: BackendView, demand: Demand, home: str | None) -> int:
    """Return the tokens read before a prompt's first event, weighted.

    :param home: the backend server on which a part that no router has sent yet is read first
    """
    cost = view.all_unread + demand.own
    if not view.keeps(now, demand.affinity) and view.server.id != home:
        cost += REREAD_WEIGHT * demand.shared
    return cost


def tokens_to_read(now: float, view: BackendView, demand: Demand) -> int:
    """Return the tokens of a prompt that a backend server has to read."""
    return demand.own if view.keeps(now, demand.affinity) else demand.own + demand.shared
