"""HTTP client of a process, based on tornado's curl client, and what it reads from headers."""

from collections.abc import Callable
from dataclasses import dataclass

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from bilberryshed.coordination import parse_seconds
from bilberryshed.transport._logs import logger

MAX_CLIENTS = 512  # concurrent requests of one process; further ones are queued
MAX_STATUS = 599  # greatest status of a response
NO_RESPONSE = 599  # status with which the client reports that it has no response
MAX_LOGGED = 80  # characters of a value that cannot be read
# Errors before a connection was open: nothing was sent.
CONNECT_ERRORS = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


@dataclass(slots=True, frozen=True)
class HttpError:
    """A failed call: no response, or a response with an error status.

    :param status: HTTP status, ``NO_RESPONSE`` if there was none
    :param possibly_sent: whether the request may have reached the server
    """

    status: int
    possibly_sent: bool
    detail: str


def http_client() -> AsyncHTTPClient:
    """Return the HTTP client that this process shares."""
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CLIENTS
    )
    return AsyncHTTPClient()


class IncompleteHeadError(Exception):
    """The connection ended within the head of a response; the request may have run."""


class _HeadWatcher:
    """Notices whether the head of a response is complete.

    :param forward: called with each line
    :param is_complete: whether the empty line after the last status line has arrived
    """

    __slots__ = ("forward", "is_complete")

    def __init__(self, forward: Callable[[str], None] | None) -> None:
        self.forward = forward
        self.is_complete = False

    def __call__(self, line: str) -> None:
        """Process one line, the status line and the empty one included."""
        if line.startswith("HTTP/"):
            self.is_complete = False
        elif not line.strip():
            self.is_complete = True
        if self.forward is not None:
            self.forward(line)


class InvalidStatusError(Exception):
    """A response has a status that does not exist; the request may have run."""


async def fetch_response(client: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    """Send a request and return its whole response, whatever the status.

    The client itself takes a head that breaks off for the head of a response without a body.

    :raises IncompleteHeadError: if the connection ends within the head
    :raises InvalidStatusError: if the status does not exist
    :raises Exception: if there is no response or an incomplete one, see :func:`describe_error`
    """
    request.header_callback = watcher = _HeadWatcher(request.header_callback)
    response = await client.fetch(request, raise_error=False)
    if response.code == NO_RESPONSE:
        response.rethrow()
    if not watcher.is_complete:
        raise IncompleteHeadError(f"the channel ended within the head of answer {response.code}")
    if not 100 <= response.code <= MAX_STATUS:
        raise InvalidStatusError(f"answer with the status {response.code}")
    return response


def read_quiet_time(value: str) -> float:
    """Return the seconds of a Retry-After header; 0, with a log line, if it names no number."""
    seconds = parse_seconds(value)
    if seconds is None:
        logger().warning("retry_after_unreadable", value=value[:MAX_LOGGED])
    return seconds or 0.0


def describe_error(error: Exception) -> HttpError:
    """Convert an exception of the HTTP client to an :class:`HttpError`."""
    if isinstance(error, CurlError):
        return HttpError(NO_RESPONSE, error.errno not in CONNECT_ERRORS, str(error))
    if isinstance(error, HTTPClientError):
        return HttpError(error.code, True, str(error))
    if isinstance(error, OSError):
        return HttpError(NO_RESPONSE, False, str(error))
    return HttpError(NO_RESPONSE, True, str(error) or repr(error))
