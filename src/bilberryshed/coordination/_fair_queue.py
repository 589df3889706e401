"""Order in which requests that wait for a backend server get one.

Priority classes come first, and a request rises by one class for each period that it has waited, so
that none starves. Within a class customers share by weight: each request is stamped with the
virtual time at which its customer's share has paid for it.
"""

from dataclasses import dataclass, field

AGING_SECONDS = 1.0  # waiting after which a request rises by one class


@dataclass(slots=True, frozen=True)
class QueueEntry:
    """One waiting request.

    :param number: unique number, rising with arrival
    :param priority: lower is served earlier
    :param target: model version or plain service that it waits for
    :param enqueued_at: time of arrival
    :param finish_tag: virtual time at which its customer's share has paid for it
    """

    number: int
    customer: str
    priority: int
    target: str
    enqueued_at: float
    finish_tag: float


@dataclass(slots=True)
class FairQueue:
    """Waiting requests of one router.

    :param limit: requests of one customer that may wait at once
    """

    limit: int
    entries: dict[int, QueueEntry] = field(default_factory=dict)
    finish_tags: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0

    def enqueue(
        self, now: float, customer: str, weight: int, priority: int, target: str
    ) -> QueueEntry | None:
        """Add a request.

        :returns: its ticket, or ``None`` if too many of its customer wait already
        """
        count = self.waiting.get(customer, 0)
        if count >= self.limit:
            return None
        self.waiting[customer] = count + 1
        self.arrivals += 1
        finish_tag = max(self.virtual_time, self.finish_tags.get(customer, 0.0)) + 1 / max(
            1, weight
        )
        self.finish_tags[customer] = finish_tag
        entry = QueueEntry(self.arrivals, customer, priority, target, now, finish_tag)
        self.entries[entry.number] = entry
        return entry

    def remove(self, entry: QueueEntry, served: bool) -> None:
        """Take a request out, because it got a backend server or gave up."""
        if self.entries.pop(entry.number, None) is None:
            return
        self.waiting[entry.customer] -= 1
        if self.waiting[entry.customer] == 0:
            del self.waiting[entry.customer]
        if served:
            self.virtual_time = max(self.virtual_time, entry.finish_tag)
        if not self.entries:
            self.finish_tags.clear()
            self.virtual_time = 0.0

    def order(self, now: float) -> list[QueueEntry]:
        """Return all requests, the next one first."""

        def rank(entry: QueueEntry) -> tuple[int, float, int]:
            promoted = int((now - entry.enqueued_at) / AGING_SECONDS)
            return max(0, entry.priority - promoted), entry.finish_tag, entry.number

        return sorted(self.entries.values(), key=rank)

    def has_waiting(self, target: str) -> bool:
        """Whether a request waits for a target."""
        return any(entry.target == target for entry in self.entries.values())
