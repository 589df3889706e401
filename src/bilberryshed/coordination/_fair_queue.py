"""Weighted fair queue of the requests that wait for a backend server.

Requests are ordered by priority class. A request is promoted by one class for each period that it
has waited, so that none starves. Within a class, customers share by weight (weighted fair
queueing): each request has a finish tag, the virtual time at which its customer's share covers it.
"""

from dataclasses import dataclass, field

AGING_SECONDS = 1.0  # waiting time after which a request is promoted by one class


@dataclass(slots=True, frozen=True)
class QueueEntry:
    """One waiting request.

    :param number: unique sequence number, in order of arrival
    :param priority: priority class; lower is served earlier
    :param target: requested model version or plain service
    :param enqueued_at: time of arrival
    :param finish_tag: virtual time at which its customer's share covers the request
    """

    number: int
    customer: str
    priority: int
    target: str
    enqueued_at: float
    finish_tag: float


@dataclass(slots=True)
class FairQueue:
    """Queue of the waiting requests of one router.

    :param limit: maximum number of waiting requests of one customer
    :param last_tags: last finish tag by customer
    :param waiting: number of waiting requests by customer
    """

    limit: int
    entries: dict[int, QueueEntry] = field(default_factory=dict)
    last_tags: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0

    def enqueue(
        self, now: float, customer: str, weight: int, priority: int, target: str
    ) -> QueueEntry | None:
        """Enqueue a request.

        :returns: its entry, or ``None`` if its customer has reached the limit
        """
        count = self.waiting.get(customer, 0)
        if count >= self.limit:
            return None
        self.waiting[customer] = count + 1
        self.arrivals += 1
        finish_tag = max(self.virtual_time, self.last_tags.get(customer, 0.0)) + 1 / max(1, weight)
        self.last_tags[customer] = finish_tag
        entry = QueueEntry(self.arrivals, customer, priority, target, now, finish_tag)
        self.entries[entry.number] = entry
        return entry

    def remove(self, entry: QueueEntry, served: bool) -> None:
        """Remove a request.

        :param served: whether it was assigned a backend server, rather than timed out or cancelled
        """
        if self.entries.pop(entry.number, None) is None:
            return
        self.waiting[entry.customer] -= 1
        if self.waiting[entry.customer] == 0:
            del self.waiting[entry.customer]
        if served:
            self.virtual_time = max(self.virtual_time, entry.finish_tag)
        if not self.entries:
            self.last_tags.clear()
            self.virtual_time = 0.0

    def order(self, now: float) -> list[QueueEntry]:
        """Return all waiting requests in the order in which they are to be served."""

        def rank(entry: QueueEntry) -> tuple[int, float, int]:
            promoted = int((now - entry.enqueued_at) / AGING_SECONDS)
            return max(0, entry.priority - promoted), entry.finish_tag, entry.number

        return sorted(self.entries.values(), key=rank)

    def has_waiting(self, target: str) -> bool:
        """Whether any request waits for a target."""
        return any(entry.target == target for entry in self.entries.values())
