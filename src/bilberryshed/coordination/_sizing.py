"""How large a grant to take."""

from dataclasses import dataclass

SHARE_OF_FREE = 4  # a grant takes at most 1/4 of one holder's fair share


@dataclass(slots=True, frozen=True)
class GrantSizing:
    """Policy of grant sizes.

    :param horizon: seconds of forecast demand that a grant should cover
    :param least: tokens below which a grant is not worth a write while the budget is plentiful
    """

    horizon: float
    least: int

    def amount(self, need: int, rate: float, free: int, holders: int) -> int:
        """Return the tokens to take.

        While the budget is plentiful a grant covers the horizon. As the balance falls, grants
        shrink geometrically, so that the last tokens are not stranded at one holder.

        :param need: tokens that waiting requests lack
        :param rate: forecast demand, tokens per second
        :param free: tokens left in the store
        :param holders: number of processes that may hold this budget
        """
        wanted = max(need, self.least, int(rate * self.horizon))
        fair = free // (SHARE_OF_FREE * max(1, holders))
        return min(free, max(need, min(wanted, fair)))
