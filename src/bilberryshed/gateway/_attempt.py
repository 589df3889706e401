"""One attempt of a request at a backend server."""

from dataclasses import dataclass

from bilberryshed.coordination import BackendView, InFlightRequest
from bilberryshed.gateway._dialect import BackendResponse
from bilberryshed.gateway._job import milliseconds
from bilberryshed.transport import BackendConnection

BEGIN_TIME = 1.0  # seconds from the first event of an answer in which its prompt can crash a server


@dataclass(slots=True, frozen=True)
class BackendLoad:
    """Load of this gateway at a backend server.

    :param running: requests in flight
    :param work: tokens, with output tokens weighted
    :param unread: prompt tokens not yet processed there, including those of other gateways
    """

    running: int = 0
    work: int = 0
    unread: int = 0


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a backend server; times are monotonic, in seconds.

    :param view: the backend server
    :param run: entry in the backend pool
    :param load: load of this gateway at the backend server when it was chosen
    :param connection: connection that carries it, ``None`` before there is one
    :param number: number of the send of its request, 0 before it was sent
    :param sent_at: time at which it was sent
    :param awaited_since: responsive time at which it was sent
    :param response: head of the response, ``None`` before it was read
    :param ahead: part of a stream that was read before it replaced a silent attempt
    :param body: whole body that was read before it replaced one, ``None`` if it was not
    :param writing_since: time of its first event
    :param is_silent: whether it has been without data for too long
    :param is_cleared: whether it has shown that its prompt crashes no server
    :param is_connection_free: whether the connection is in the pool again
    """

    view: BackendView
    run: InFlightRequest
    load: BackendLoad
    connection: BackendConnection | None = None
    number: int = 0
    sent_at: float = 0.0
    awaited_since: float = 0.0
    response: BackendResponse | None = None
    ahead: bytes = b""
    body: bytes | None = None
    writing_since: float | None = None
    is_silent: bool = False
    is_cleared: bool = False
    is_connection_free: bool = False

    @property
    def server(self) -> str:
        """Id of the backend server."""
        return self.view.server.id

    def take_ahead(self) -> bytes:
        """Return and clear the part of a stream that was read ahead, empty if there is none."""
        ahead, self.ahead = self.ahead, b""
        return ahead

    def writing_ms(self, now: float) -> int | None:
        """Milliseconds since its first event, ``None`` before it.

        :param now: monotonic time in seconds
        """
        return None if self.writing_since is None else milliseconds(now - self.writing_since)

    def is_beginning(self, now: float) -> bool:
        """Whether its answer is not begun, or only for ``BEGIN_TIME``.

        :param now: monotonic time in seconds
        """
        return self.writing_since is None or now - self.writing_since < BEGIN_TIME
