"""HTTP client of a process, based on tornado's curl client, and what it reads from headers."""

from dataclasses import dataclass

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from bilberryshed.coordination import parse_seconds
from bilberryshed.transport._logs import logger

MAX_CLIENTS = 512  # concurrent requests of one process; further ones are queued
MAX_LOGGED = 80  # characters of a value that cannot be read
# Errors before a connection was open: nothing was sent.
CONNECT_ERRORS = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


@dataclass(slots=True, frozen=True)
class HttpError:
    """A failed call: no response, or a response with an error status.

    :param status: HTTP status, 599 if there was no response
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


def read_quiet_time(value: str) -> float:
    """Return the seconds of a Retry-After header; 0, with a log line, if it names no number."""
    seconds = parse_seconds(value)
    if seconds is None:
        logger().warning("retry_after_unreadable", value=value[:MAX_LOGGED])
    return seconds or 0.0


def use_new_connection(curl: pycurl.Curl) -> None:
    """Have a request use a connection of its own, on which no earlier response can arrive."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def describe_error(error: Exception) -> HttpError:
    """Convert an exception of the HTTP client to an :class:`HttpError`."""
    if isinstance(error, CurlError):
        return HttpError(599, error.errno not in CONNECT_ERRORS, str(error))
    if isinstance(error, HTTPClientError):
        return HttpError(error.code, True, str(error))
    if isinstance(error, OSError):
        return HttpError(599, False, str(error))
    return HttpError(599, True, repr(error))
