"""Steps for the account of bytes held for callers."""

import errno
import resource
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, RequestStartLine

from bilberryshed.coordination.admission import ByteCounter
from bilberryshed.coordination.memory import HeldBytes, HeldKind
from bilberryshed.gateway._caller_exchange import CallerExchange
from bilberryshed.gateway._caller_limits import CallerLimiter
from bilberryshed.state import Address
from bilberryshed.transport import BodyBuffer
from bilberryshed.transport._connections import ConnectError, ConnectionPool

CHANGES = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.sampled_from(HeldKind),
        st.integers(0, 100),
        st.booleans(),
    ),
    max_size=40,
)

NOW = 10.0  # monotonic time in seconds


@given("an account of {total:d} bytes with")
def given_account(context, total):
    context.account = HeldBytes(total)
    for row in context.table:
        since = NOW - float(row.get("age", 1))
        kind, has_key = HeldKind[row["kind"]], row["key"] == "yes"
        context.account.put(int(row["connection"]), kind, int(row["size"]), since, has_key)


@then("the victims are {numbers}")
def then_victims(context, numbers):
    expected = [int(number) for number in numbers.split(", ")]
    assert context.account.victims(NOW) == expected, context.account.victims(NOW)


@then(
    "for any changes, the sum is exact, and without the victims it is within the total or only "
    "whole requests"
)
def then_any_changes(context):
    @given_any(CHANGES)
    def check(changes):
        account = HeldBytes(150)
        for now, (connection, kind, size, has_key) in enumerate(changes):
            account.put(connection, kind, size, float(now), has_key)
            check_account(account, float(now))

    check()


def check_account(account, now):
    """Check the sum, the kinds of the victims, and the account without them."""
    holdings = account.holdings
    assert account.held == sum(holding.size for holding in holdings.values())
    victims = account.victims(now)
    kinds = [holdings[number].kind for number in victims]
    assert kinds == sorted(kinds) and HeldKind.WHOLE not in kinds
    for number in victims:
        # Each victim was needed: before it, the account was over its total.
        assert account.held > account.total
        account.release(number)
    rest = {holding.kind for holding in holdings.values()}
    assert account.held <= account.total or rest == {HeldKind.WHOLE}


class _Exchange(CallerExchange):
    """A request on a connection that is no socket."""

    stream = SimpleNamespace(number=1, unsent=0, closed=lambda: False)


@given("a limiter of callers")
def given_limiter(context):
    settings = SimpleNamespace(memory=80, held_share=0.5, connections=0, header_fields=10)
    timers = SimpleNamespace(now=lambda: NOW)
    gateway = SimpleNamespace(index=None, settings=settings, timers=timers)
    context.limiter = CallerLimiter(gateway, None, None)
    context.requests = {}


@when("request {name:w} with {count:d} header fields and no body arrives")
def when_request(context, name, count):
    handler = SimpleNamespace(byte_counter=ByteCounter(), hold=context.limiter.hold)
    exchange = context.requests[name] = _Exchange(handler, None)
    fields = HTTPHeaders({f"x-{number}": "1" for number in range(count)})
    exchange.headers_received(RequestStartLine("GET", "/", "HTTP/1.1"), fields)
    exchange.is_read = True
    context.limiter.hold(exchange)


@when("request {name:w} is released")
def when_released(context, name):
    context.limiter.release(context.requests[name])


@then("at least {size:d} bytes are held")
def then_held(context, size):
    assert context.limiter.held.held >= size, context.limiter.held.held


@then("with {descriptors} descriptors, callers may open {connections:d} connections")
def then_connections(context, descriptors, connections):
    limit = resource.RLIM_INFINITY if descriptors == "unlimited" else int(descriptors)
    with patch("resource.getrlimit", return_value=(limit, limit)):
        assert context.limiter.max_connections() == connections, context.limiter.max_connections()


@then("opening a connection to a backend server without a free descriptor is a ConnectError")
def then_connect_error(context):
    error = OSError(errno.EMFILE, "Too many open files")
    with patch("socket.socket", side_effect=error):
        opening = ConnectionPool().open("a", Address("127.0.0.1", 1), 1.0)
        try:
            opening.send(None)
        except ConnectError:
            return
    raise AssertionError("no error")


@then("for any pieces, a body buffer has their size, returns them in order, and is empty")
def then_buffer_exact(context):
    @given_any(st.lists(st.integers(0, 150_000), max_size=6))
    def check(sizes):
        pieces = [bytes([number % 256]) * size for number, size in enumerate(sizes)]
        buffer = BodyBuffer()
        for piece in pieces:
            buffer.append(piece)
        assert len(buffer) == sum(sizes)
        assert buffer.take() == b"".join(pieces)
        assert len(buffer) == 0 and buffer.take() == b""

    check()
