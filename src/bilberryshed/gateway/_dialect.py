"""Interface to the HTTP dialect of callers and backend servers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result

from bilberryshed.state import RoutedCustomer
from bilberryshed.transport import HeaderList, ResponseHead


@dataclass(slots=True, frozen=True)
class Prompt:
    """Size of a model request.

    :param tokens: prompt tokens
    :param max_output: maximum number of generated tokens
    :param parts: ids of the prompt's parts in order; all but the last may be shared with others
    :param shared: total tokens of all parts but the last
    """

    tokens: int
    max_output: int
    parts: tuple[str, ...]
    shared: int


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """A validated request of a caller.

    :param id: id of this attempt, assigned by the caller
    :param target: path and query
    :param headers: headers that are forwarded unchanged
    :param key: API key of the customer, empty if there is none
    :param caller_timeout: seconds that the caller waits for the response
    :param last_event_id: id of the last event that the caller received, empty for a new stream
    :param resumed_request: id of the caller's attempt that received the first event of the stream
    """

    id: str
    host: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    key: str
    caller_timeout: float
    prompt: Prompt | None
    last_event_id: str
    resumed_request: str = ""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]


@dataclass(slots=True, frozen=True)
class RequestError:
    """Why a request is invalid.

    :param status: HTTP status of the refusal
    :param reason: error text for the caller
    """

    status: int
    reason: str


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Data that the gateway adds to a request for a backend server.

    :param server: id of the target backend server
    :param time_left: seconds until the response is due
    :param last_event_id: id of the last relayed event, empty if none was relayed
    :param priority: 0 is the highest
    """

    server: str
    customer: RoutedCustomer | None
    time_left: float
    last_event_id: str
    priority: int | None


@dataclass(slots=True, frozen=True)
class BackendResponse:
    """Decoded head of a backend server's response.

    :param request: id of the request that it responds to, empty if absent
    :param not_run: whether the request was certainly not executed
    :param signed: whether it has the backend server's signature
    :param wrong_server: whether another backend server now has the address
    :param must_close: whether the connection closes after the response
    :param idle_timeout: seconds for which the server keeps an idle connection, if stated
    :param is_leaving: whether the backend server says that it leaves
    :param quiet_time: seconds for which it wants no requests from this gateway, 0 if it says none
    :param limit: requests per second that the backend server takes, ``None`` if it names no limit
    :param headers: headers for the caller
    :param cold_time: seconds for which the backend server stays cold, ``UNREADABLE`` for an invalid
        value, ``None`` if it does not say
    """

    status: int
    request: str
    not_run: bool
    signed: bool
    wrong_server: bool
    must_close: bool
    idle_timeout: float | None
    limit: float | None
    headers: HeaderList
    is_leaving: bool = False
    quiet_time: float = 0.0
    cold_time: float | None = None

    @property
    def is_rejection(self) -> bool:
        """Whether it states that the request to which it responds was not executed."""
        return self.not_run or self.wrong_server


class Dialect(ABC):
    """Translates between HTTP messages and typed values."""

    @abstractmethod
    def request_id(self, headers: HeaderList) -> str:
        """Return the id of a request that may be malformed, empty if it has no valid id."""

    @abstractmethod
    def parse_request(
        self, method: str, target: str, headers: HeaderList, body: bytes
    ) -> Result[CallerRequest, RequestError]:
        """Parse and validate a caller's request."""

    @abstractmethod
    def dispatch_headers(self, request: CallerRequest, dispatch: Dispatch) -> HeaderList:
        """Return the request headers for a backend server."""

    @abstractmethod
    def parse_response(self, head: ResponseHead) -> BackendResponse:
        """Decode the head of a backend server's response."""

    @abstractmethod
    def refusal_headers(self, retry_after: float | None) -> HeaderList:
        """Return the headers of a refusal.

        :param retry_after: seconds until the caller should retry, ``None`` if it should not
        """
