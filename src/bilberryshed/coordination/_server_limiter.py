"""What a backend server says of itself to the only process that sends requests to it."""

from bilberryshed.coordination._named_limits import NamedLimits
from bilberryshed.coordination._permits import PermitIssuer


class ServerLimiter:
    """Keeps the limit of the one backend server to which only this process sends requests.

    :param quiet_until: monotonic time in seconds before which it wants no requests
    """

    __slots__ = ("named", "issuer", "quiet_until")

    def __init__(self) -> None:
        self.named = NamedLimits()
        self.issuer = PermitIssuer()
        self.quiet_until = float("-inf")

    def on_quiet(self, now: float, seconds: float) -> None:
        """Admit no request for some seconds; the longest time asked for counts."""
        self.quiet_until = max(self.quiet_until, now + seconds)

    def on_response(self, now: float, limit: float | None, sent_at: float) -> bool:
        """Record what a response says about the limit; see :meth:`NamedLimits.on_response`."""
        return self.named.on_response(now, "", limit, sent_at)

    def wait(self, now: float) -> float:
        """Return the seconds for which no request is admitted."""
        limit = self.named.limit("")
        limited = 0.0 if limit is None else self.issuer.wait(now, "", limit)
        return max(limited, self.quiet_until - now)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        limit = self.named.limit("")
        if limit is not None:
            self.issuer.take(now, "", limit)
