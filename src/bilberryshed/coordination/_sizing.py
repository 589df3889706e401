"""Sizes of the grants that a holder acquires and returns."""

from dataclasses import dataclass

ALLOCATED_SHARE = 0.9  # of the balance that all holders together hold; the rest stays in the store
SURPLUS_FACTOR = 1.2  # multiple of the target above which a holder returns grants


@dataclass(slots=True, frozen=True)
class Demand:
    """Demand for one budget, in tokens per second, as known to one holder.

    :param rate: forecast of this holder
    :param others: sum of the other holders' forecasts, as last reported
    :param others_held: sum of the other holders' free tokens, as last reported
    :param holders: number of availability zones that may hold the budget
    """

    rate: float
    others: float
    others_held: int
    holders: int

    @property
    def share(self) -> float:
        """This holder's share of the total demand."""
        if self.rate and self.others:
            return self.rate / (self.rate + self.others)
        return 1 / max(1, self.holders)


@dataclass(slots=True, frozen=True)
class GrantSizing:
    """Policy of grant sizes.

    While the balance is high, a holder holds the demand of the horizon, which lets it continue
    through outages of the store. As the balance falls, most of it is allocated to the holders in
    proportion to demand, so that all run out at the same time even if some are partitioned. The
    small remainder in the store compensates for errors of the forecasts.

    :param horizon: seconds of forecast demand for which tokens should be held
    :param min_grant: tokens below which a grant ahead of need does not justify a write
    """

    horizon: float
    min_grant: int

    def target(self, held: int, demand: Demand, free: int) -> int:
        """Return the number of tokens that the holder should hold.

        :param held: free tokens that it holds
        :param free: tokens left in the store
        """
        wanted = max(self.min_grant, int(demand.rate * self.horizon))
        balance = held + demand.others_held + free
        return min(wanted, int(ALLOCATED_SHARE * demand.share * balance))

    def is_scarce(self, held: int, demand: Demand, free: int) -> bool:
        """Whether the balance, rather than the horizon, limits the target."""
        return self.target(held, demand, free) < int(demand.rate * self.horizon)

    def amount(self, need: int, held: int, demand: Demand, free: int) -> int:
        """Return the number of tokens to acquire.

        An acquisition ahead of need (``need`` 0) that is too small to justify a write is skipped.

        :param need: tokens that waiting requests lack
        :param held: free tokens that the holder holds
        :param free: tokens left in the store
        """
        amount = min(free, max(need, self.target(held, demand, free) - held))
        return 0 if need == 0 and amount < self.min_grant else amount

    def surplus(self, held: int, demand: Demand, free: int) -> int:
        """Return the number of held tokens that should be returned.

        :param held: free tokens that the holder holds
        :param free: tokens left in the store
        """
        target = self.target(held, demand, free)
        return held - target if held > SURPLUS_FACTOR * target + self.min_grant else 0
