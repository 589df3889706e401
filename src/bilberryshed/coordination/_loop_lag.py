"""Lag of the own event loop, so that a process does not hold its own delays against others.

A process that was stopped, or busy with one long task, reads late what others have sent in time. A
timeout on its own clock would then count its delay as theirs. Timeouts that judge others are
therefore measured in responsive time: it advances while the loop runs its ticks on time, and stands
still while it does not and until the loop has gone through what waited.

Time limits of what this process may do itself (leases, permits, deadlines of callers) are measured
in monotonic time.
"""

TICK_INTERVAL = 0.05  # seconds between ticks
LATE_GAP = 0.1  # seconds between two ticks above which the loop was late


class LoopLag:
    """Responsive time of one event loop; times are monotonic, in seconds.

    :param ticked_at: time of the last tick, ``None`` before the first one
    :param was_late: whether the last tick was late, so that the loop still handles what waited
    :param lost: time in which the loop was not responsive
    :param credit: time that counts as responsive if the next tick is late
    """

    __slots__ = ("ticked_at", "was_late", "lost", "credit")

    def __init__(self) -> None:
        self.ticked_at: float | None = None
        self.was_late = False
        self.lost = 0.0
        self.credit = 0.0

    def on_tick(self, now: float) -> float:
        """Record a tick.

        Responsive time goes on from the first tick on time after a late one, without a jump. If
        late ticks follow each other, also with one on time between them, it goes on slowly at the
        late ones, so that an overloaded process still notices in the end that others are gone.

        :returns: seconds by which it was late, 0 if it was not
        """
        last, self.ticked_at = self.ticked_at, now
        if last is None:
            return 0.0
        gap = now - last
        if gap > LATE_GAP:
            self.lost += gap - self.credit
            self.credit, self.was_late = LATE_GAP, True
            return gap - TICK_INTERVAL
        if self.was_late:
            self.lost += gap
            self.credit, self.was_late = gap, False
        else:
            self.credit = 0.0
        return 0.0

    def stop(self, now: float) -> None:
        """End the measurement; responsive time goes on like monotonic time."""
        self.lost = now - self.responsive_time(now)
        self.ticked_at, self.was_late = None, False

    def responsive_time(self, now: float) -> float:
        """Return the time up to now in which the loop was responsive.

        The result is to be compared with others of this method only. It may step back by up to
        ``LATE_GAP``, as a delay is noticed once it has lasted that long.
        """
        last = self.ticked_at
        if last is not None and (self.was_late or now - last > LATE_GAP):
            return last - self.lost
        return now - self.lost
