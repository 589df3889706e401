"""How much of a budget a holder should have in hand."""

from dataclasses import dataclass

ALLOCATED_SHARE = 0.9  # of the whole balance, which all holders together should have in hand
SURPLUS_FACTOR = 1.2  # times the target, above which a holder returns grants


@dataclass(slots=True, frozen=True)
class Demand:
    """Demand for one budget, in tokens per second, as a holder knows it.

    :param rate: forecast of this holder
    :param others: forecasts of the other holders together, as they last said
    :param others_held: free tokens in their hands, as they last said
    :param holders: number of availability zones that may hold the budget
    """

    rate: float
    others: float
    others_held: int
    holders: int

    @property
    def share(self) -> float:
        """This holder's part of the whole demand."""
        if self.rate and self.others:
            return self.rate / (self.rate + self.others)
        return 1 / max(1, self.holders)


@dataclass(slots=True, frozen=True)
class GrantSizing:
    """Policy of grant sizes.

    While a budget is plentiful a holder has the horizon's demand in hand, which rides out outages
    of the store. As the balance falls, nearly all of it is in the holders' hands, in proportion to
    demand, so that all run dry together whoever is cut off; the small rest in the store evens out
    what forecasts got wrong.

    :param horizon: seconds of forecast demand to have in hand
    :param min_grant: tokens below which a grant is not worth a write while the budget is plentiful
    """

    horizon: float
    min_grant: int

    def target(self, held: int, demand: Demand, free: int) -> int:
        """Return the tokens to have in hand.

        :param held: free tokens in hand
        :param free: tokens left in the store
        """
        wanted = max(self.min_grant, int(demand.rate * self.horizon))
        balance = held + demand.others_held + free
        return min(wanted, int(ALLOCATED_SHARE * demand.share * balance))

    def is_scarce(self, held: int, demand: Demand, free: int) -> bool:
        """Whether the balance, not the horizon, bounds what a holder should have in hand."""
        return self.target(held, demand, free) < int(demand.rate * self.horizon)

    def amount(self, need: int, held: int, demand: Demand, free: int) -> int:
        """Return the tokens to take.

        A take ahead of need (``need`` 0) that would be too small to be worth a write takes nothing.

        :param need: tokens that waiting requests lack
        :param held: free tokens in hand
        :param free: tokens left in the store
        """
        amount = min(free, max(need, self.target(held, demand, free) - held))
        return 0 if need == 0 and amount < self.min_grant else amount

    def surplus(self, held: int, demand: Demand, free: int) -> int:
        """Return the tokens in hand that are better returned.

        :param held: free tokens in hand
        :param free: tokens left in the store
        """
        target = self.target(held, demand, free)
        return held - target if held > SURPLUS_FACTOR * target + self.min_grant else 0
