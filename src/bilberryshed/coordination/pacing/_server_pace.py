"""The window of one paced backend server: the requests of all gateways that may run there.

The window doubles each round until the first bad answer, and grows by a step from then on. A bad
answer lowers it, at most once in a round, as the answers of one round have the same cause.
"""

import math
from dataclasses import dataclass

START_WINDOW = 1.0  # requests of all gateways; a server that crashes on return loses no more
MIN_ROUND = 0.2  # seconds; load reports of other gateways take up to 0.1 s
ROUND_FACTOR = 1.5  # times to the first event in a round without a good answer
RAISE = 0.5  # of the window added in a round after the first bad answer, if that is more
STEP = 1.0  # requests added at least
SLOW_FACTOR = 0.7  # of the window that remains after a slow answer
FAILED_FACTOR = 0.5  # of the window that remains after a rejection or a failure
RATIO_WEIGHT = 0.3  # weight of the newest answer in the average that decides on the end
END_RATIO = 1.15  # of the peers' time to the first event, at most, for the end
END_MARGIN = 2.0  # requests above the load of the server's peers at which pacing ends


@dataclass(slots=True)
class ServerPace:
    """The pace of one backend server; times are monotonic, in seconds.

    :param started_at: time at which pacing began
    :param next_at: time before which this gateway sends it no request
    :param window: requests of all gateways that may run there
    :param is_doubling: whether no answer has been bad yet
    :param round_at: time at which the current round began
    :param good: good answers to this gateway in this round
    :param ratio: moving average of its times to the first event, as multiples of its peers' time;
        infinite before the first
    :param is_used_by_peers: whether other gateways had requests there in this round
    :param is_lowered: whether a bad answer has lowered the window in this round
    """

    started_at: float
    next_at: float
    window: float = START_WINDOW
    is_doubling: bool = True
    round_at: float = 0.0
    good: int = 0
    ratio: float = math.inf
    is_used_by_peers: bool = False
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
        """Whether an answer shows how the server takes this round's window, or none has come."""
        elapsed = now - self.round_at
        if self.good and not self.is_lowered:
            return elapsed >= MIN_ROUND
        return elapsed >= max(MIN_ROUND, ROUND_FACTOR * first_event)

    def on_ratio(self, ratio: float) -> None:
        """Update the average that decides on the end."""
        before = ratio if math.isinf(self.ratio) else self.ratio
        self.ratio = before + RATIO_WEIGHT * (ratio - before)

    def on_good(self, now: float, seconds: float) -> None:
        """Count a good answer; one to a request from before the round says nothing about it.

        :param seconds: time from the request to the first event
        """
        if now - seconds >= self.round_at:
            self.good += 1

    def end_round(self, now: float, running: int, target: float) -> bool:
        """Raise the window if the round was good, and begin the next one.

        A gateway that got no answer in the round follows the load that the others report: they
        had requests there, and the window is not full, so these requests end. If they have more
        there than the window, it rises to that load: without this a gateway that may send nothing
        learns nothing and never stops pacing. Requests that hang raise it no further.

        :param running: requests of all gateways that run there
        :param target: requests that run at the servers of its service, on average
        :returns: whether it answers like its peers under a load like theirs
        """
        is_good = self.good > 0 or (self.is_used_by_peers and running < self.window)
        is_good = is_good and not self.is_lowered
        if not self.is_lowered and running > self.window:
            self.window = min(running, target + END_MARGIN)
        self.round_at, self.good = now, 0
        self.is_lowered = self.is_used_by_peers = False
        if not is_good:
            return False
        most = target + END_MARGIN
        if self.window >= most:
            return self.ratio <= END_RATIO
        raised = self.window + (self.window if self.is_doubling else max(STEP, self.window * RAISE))
        self.window = min(raised, max(most, START_WINDOW))
        return False
