"""What the gateway needs to know of the protocol that callers and backend servers speak."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result

from bilberryshed.state import RoutedCustomer
from bilberryshed.transport import AnswerHead, HeaderList


@dataclass(slots=True, frozen=True)
class Prompt:
    """Size of a model request.

    :param tokens: prompt tokens
    :param max_output: most tokens that may be generated
    :param parts: ids of the prompt's parts, in order; all but the last may be shared
    :param shared: tokens of all parts but the last
    """

    tokens: int
    max_output: int
    parts: tuple[str, ...]
    shared: int


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """A request as a caller sent it, checked.

    :param id: id of this attempt of the caller
    :param target: path and query
    :param headers: headers that are passed on unchanged
    :param key: customer key, empty if there is none
    :param caller_timeout: seconds that the caller waits
    :param last_event_id: id of the last event that the caller has, empty for a fresh stream
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

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclass(slots=True, frozen=True)
class RequestError:
    """What is wrong with a request.

    :param status: HTTP status of the refusal
    """

    status: int
    reason: str


@dataclass(slots=True, frozen=True)
class Dispatch:
    """What is added to a request on its way to a backend server.

    :param server: id of the backend server meant
    :param time_left: seconds that the answer may take
    :param priority: 0 runs first
    """

    server: str
    customer: RoutedCustomer | None
    time_left: float
    last_event_id: str
    priority: int | None


@dataclass(slots=True, frozen=True)
class BackendResponse:
    """What the head of a backend server's answer says.

    :param request: id of the request that it belongs to, empty if it does not say
    :param not_run: whether the request certainly did not run
    :param signed: whether it bears the backend server's signature
    :param wrong_server: whether another backend server has the address now
    :param must_close: whether the channel closes after it
    :param idle_timeout: seconds that the channel is kept, if stated
    :param headers: headers for the caller
    """

    status: int
    request: str
    not_run: bool
    signed: bool
    wrong_server: bool
    must_close: bool
    idle_timeout: float | None
    headers: HeaderList


class Dialect(ABC):
    """Translates between HTTP messages and typed values."""

    @abstractmethod
    def request_id(self, headers: HeaderList) -> str:
        """Return the id of a caller's request that may be malformed, empty if it has none."""

    @abstractmethod
    def parse_request(
        self, method: str, target: str, headers: HeaderList, body: bytes
    ) -> Result[CallerRequest, RequestError]:
        """Check a caller's request."""

    @abstractmethod
    def dispatch_headers(self, request: CallerRequest, dispatch: Dispatch) -> HeaderList:
        """Return the headers for a backend server."""

    @abstractmethod
    def parse_response(self, head: AnswerHead) -> BackendResponse:
        """Decode the head of a backend server's answer."""

    @abstractmethod
    def refusal_headers(self, retry_after: float | None) -> HeaderList:
        """Return the headers of a refusal.

        :param retry_after: seconds after which the caller should come back
        """
