"""The limit of a backend server to which only one process sends requests."""

from bilberryshed.coordination._named_limits import NamedLimits
from bilberryshed.coordination._permits import PermitIssuer


class ServerLimiter:
    """Keeps the limit of the one backend server to which only this process sends requests."""

    __slots__ = ("named", "issuer")

    def __init__(self) -> None:
        self.named = NamedLimits()
        self.issuer = PermitIssuer()

    def on_response(self, now: float, limit: float | None, sent_at: float) -> bool:
        """Record what a response says about the limit; see :meth:`NamedLimits.on_response`."""
        return self.named.on_response(now, "", limit, sent_at)

    def wait(self, now: float) -> float:
        """Return the seconds for which the limit admits no request."""
        limit = self.named.limit("")
        return 0.0 if limit is None else self.issuer.wait(now, "", limit)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        limit = self.named.limit("")
        if limit is not None:
            self.issuer.take(now, "", limit)
