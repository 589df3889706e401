"""Order in which requests that wait for a backend server get one.

Priority classes come first, and a request rises by one class for each period that it has waited, so
that none starves. Within a class customers share by weight: each request is stamped with the
virtual time at which its customer's share has paid for it.
"""

from dataclasses import dataclass, field

AGING_SECONDS = 1.0  # waiting after which a request rises by one class


@dataclass(slots=True, frozen=True)
class Ticket:
    """One waiting request.

    :param number: unique number, rising with arrival
    :param priority: lower is served earlier
    :param target: model version or plain service that it waits for
    :param since: time of arrival
    :param stamp: virtual time at which its customer's share has paid for it
    """

    number: int
    customer: str
    priority: int
    target: str
    since: float
    stamp: float


@dataclass(slots=True)
class FairQueue:
    """Waiting requests of one router.

    :param limit: requests of one customer that may wait at once
    """

    limit: int
    tickets: dict[int, Ticket] = field(default_factory=dict)
    stamps: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    virtual: float = 0.0
    arrivals: int = 0

    def push(
        self, now: float, customer: str, weight: int, priority: int, target: str
    ) -> Ticket | None:
        """Add a request.

        :returns: its ticket, or ``None`` if too many of its customer wait already
        """
        count = self.waiting.get(customer, 0)
        if count >= self.limit:
            return None
        self.waiting[customer] = count + 1
        self.arrivals += 1
        stamp = max(self.virtual, self.stamps.get(customer, 0.0)) + 1 / max(1, weight)
        self.stamps[customer] = stamp
        ticket = Ticket(self.arrivals, customer, priority, target, now, stamp)
        self.tickets[ticket.number] = ticket
        return ticket

    def remove(self, ticket: Ticket, served: bool) -> None:
        """Take a request out, because it got a backend server or gave up."""
        if self.tickets.pop(ticket.number, None) is None:
            return
        self.waiting[ticket.customer] -= 1
        if self.waiting[ticket.customer] == 0:
            del self.waiting[ticket.customer]
        if served:
            self.virtual = max(self.virtual, ticket.stamp)
        if not self.tickets:
            self.stamps.clear()
            self.virtual = 0.0

    def order(self, now: float) -> list[Ticket]:
        """Return all requests, the next one first."""

        def rank(ticket: Ticket) -> tuple[int, float, int]:
            risen = int((now - ticket.since) / AGING_SECONDS)
            return max(0, ticket.priority - risen), ticket.stamp, ticket.number

        return sorted(self.tickets.values(), key=rank)

    def has(self, target: str) -> bool:
        """Whether a request waits for a target."""
        return any(ticket.target == target for ticket in self.tickets.values())
