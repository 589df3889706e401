"""How much of a budget a holder should have in hand."""

from dataclasses import dataclass

HELD_FOR_POOLED = 4.0  # tokens that all holders have in hand for each one left in the store
SURPLUS = 1.5  # times the target, above which a holder returns grants


@dataclass(slots=True, frozen=True)
class Demand:
    """Demand for one budget, in tokens per second, as a holder knows it.

    :param rate: forecast of this holder
    :param others: forecasts of the other holders together, as they last said
    :param holders: number of availability zones that may hold the budget
    """

    rate: float
    others: float
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
    of the store. As the balance falls, what holders have shrinks geometrically with what is left
    in the store, in proportion to demand, so that all run dry together and the last tokens are not
    stranded at one of them.

    :param horizon: seconds of forecast demand to have in hand
    :param least: tokens below which a grant is not worth a write while the budget is plentiful
    """

    horizon: float
    least: int

    def target(self, demand: Demand, free: int) -> int:
        """Return the tokens to have in hand.

        :param free: tokens left in the store
        """
        wanted = max(self.least, int(demand.rate * self.horizon))
        return min(wanted, int(HELD_FOR_POOLED * demand.share * free))

    def amount(self, need: int, held: int, demand: Demand, free: int) -> int:
        """Return the tokens to take.

        A take ahead of need (``need`` 0) that would be too small to be worth a write takes nothing.

        :param need: tokens that waiting requests lack
        :param held: free tokens in hand
        :param free: tokens left in the store
        """
        wanted = max(self.least, int(demand.rate * self.horizon)) - held
        ratio = HELD_FOR_POOLED * demand.share
        balanced = int((ratio * free - held) / (1 + ratio))
        amount = min(free, max(need, min(wanted, balanced)))
        return 0 if need == 0 and amount < self.least else amount

    def surplus(self, held: int, demand: Demand, free: int) -> int:
        """Return the tokens in hand that are better returned.

        :param held: free tokens in hand
        :param free: tokens left in the store
        """
        limit = SURPLUS * self.target(demand, free) + self.least
        return held - self.target(demand, free) if held > limit else 0
