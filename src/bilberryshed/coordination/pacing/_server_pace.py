"""The window of one paced backend server: the requests of all gateways that may run there.

The window doubles each round until the first bad answer, and grows by a step from then on. A bad
answer lowers it, at most once in a round, as the answers of one round have the same cause.
"""

from dataclasses import dataclass

START_WINDOW = 2.0  # requests of all gateways; with 1, one slow request would hide all others
MIN_ROUND = 0.2  # seconds; load reports of other gateways take up to 0.1 s
ROUND_FACTOR = 2.0  # times to the first event in one round
STEP = 1.0  # requests added in a round after the first bad answer
SLOW_FACTOR = 0.7  # of the window that remains after a slow answer
FAILED_FACTOR = 0.5  # of the window that remains after a rejection or a failure
END_MARGIN = 1.0  # requests above the load of the server's peers at which pacing ends


@dataclass(slots=True)
class ServerPace:
    """The pace of one backend server; times are monotonic, in seconds.

    :param started_at: time at which pacing began
    :param next_at: time before which this gateway sends it no request
    :param window: requests of all gateways that may run there
    :param is_doubling: whether no answer has been bad yet
    :param round_at: time at which the current round began
    :param good: good answers to this gateway in this round
    :param is_lowered: whether a bad answer has lowered the window in this round
    """

    started_at: float
    next_at: float
    window: float = START_WINDOW
    is_doubling: bool = True
    round_at: float = 0.0
    good: int = 0
    is_lowered: bool = False

    def __post_init__(self) -> None:
        self.round_at = self.started_at

    def has_room(self, now: float, running: int) -> bool:
        """Whether this gateway may send a request now.

        :param running: requests of all gateways that run there
        """
        return running < self.window and now >= self.next_at

    def on_sent(self, now: float, gateways: int, first_event: float) -> None:
        """Space this gateway's requests, so that all gateways send a window in one response time.

        Reports of the others' requests come too late to keep them from all sending at once.

        :param gateways: number of known gateways
        :param first_event: usual time to the first event, in seconds
        """
        self.next_at = now + gateways * first_event / self.window

    def lower(self, factor: float) -> None:
        """Lower the window because of a bad answer."""
        self.is_doubling = False
        if not self.is_lowered:
            self.window = max(START_WINDOW, self.window * factor)
            self.is_lowered = True

    def is_round_over(self, now: float, first_event: float) -> bool:
        """Whether the answers of the current round have had the time to arrive."""
        return now - self.round_at >= max(MIN_ROUND, ROUND_FACTOR * first_event)

    def end_round(self, now: float, running: int, peers_running: int, target: float) -> bool:
        """Raise the window if the round was good, and begin the next one.

        A gateway that got no answer in the round follows the load that the others report: they
        have requests there, and the window is not full, so these requests end.

        :param running: requests of all gateways that run there
        :param peers_running: requests of the other gateways among them
        :param target: requests that run at its peers of the service, on average
        :returns: whether it answers like its peers under a load like theirs
        """
        is_good = self.good > 0 or (peers_running > 0 and running < self.window)
        is_good = is_good and not self.is_lowered
        self.round_at, self.good, self.is_lowered = now, 0, False
        if not is_good:
            return False
        if self.window >= target + END_MARGIN:
            return True
        self.window = self.window * 2 if self.is_doubling else self.window + STEP
        return False
