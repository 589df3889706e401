"""Limits of callers' connections: held memory, progress and number."""

import resource
from collections.abc import Callable

from bilberryshed.coordination.memory import HeldBytes, HeldKind
from bilberryshed.gateway._caller_exchange import FIELD_BYTES, CallerExchange
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.state import CallerLimits
from bilberryshed.transport import DRAIN_TIME, CallerListener, CallerStream, Phase, logger

SWEEP_INTERVAL = 0.5  # seconds between checks of all connections
MEGABYTE = 1_000_000
CONNECTION_BYTES = 32_768  # bytes of an open connection: objects, read buffer
WHOLE_FACTOR = 2  # a whole request is copied once while it is sent to a backend server
RESERVED_DESCRIPTORS = 256  # for other gateways, the store, the log and idle connections
REQUEST_DESCRIPTORS = 2  # a running request needs its caller's and a backend server's connection
FALLBACK_CONNECTIONS = 64  # callers' connections if hardly any descriptors are left
PAGE_CONNECTIONS = 32  # connections of the readiness or the metrics address

Evict = Callable[[CallerExchange], None]


class CallerLimiter:
    """Cuts off callers that hold too much memory or make no progress.

    :param held: account of the bytes held for callers
    :param exchanges: requests that have a place in the account, by number of their connection
    :param listeners: listeners whose connections are checked
    """

    __slots__ = ("context", "metrics", "evict", "held", "exchanges", "listeners")

    def __init__(self, context: GatewayContext, metrics: GatewayMetrics, evict: Evict) -> None:
        self.context = context
        self.metrics = metrics
        self.evict = evict
        self.held = HeldBytes(0)
        self.exchanges: dict[int, CallerExchange] = {}
        self.listeners: list[CallerListener] = []
        self.apply_total()

    def start(self, *listeners: CallerListener | None) -> None:
        """Begin the periodic checks of the listeners' connections."""
        self.listeners = [listener for listener in listeners if listener is not None]
        timers = self.context.timers
        timers.subscribe(SWEEP_INTERVAL, lambda now: self.sweep(timers.responsive_time()))

    @property
    def limits(self) -> CallerLimits:
        """Limits of the active route table."""
        index = self.context.index
        return index.table.limits if index else CallerLimits()

    def apply_total(self) -> None:
        """Set the total of the account; the largest legal request always fits."""
        settings = self.context.settings
        share = int(settings.memory * MEGABYTE * settings.held_share)
        head = self.limits.header_bytes + settings.header_fields * FIELD_BYTES
        legal = WHOLE_FACTOR * self.limits.body_bytes + head
        self.held.total = max(share, legal)

    def max_connections(self) -> int:
        """Return the bound on callers' connections, by setting or by descriptors and memory."""
        settings = self.context.settings
        if settings.connections:
            return settings.connections
        bound = int(settings.memory * MEGABYTE * settings.held_share) // CONNECTION_BYTES
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors != resource.RLIM_INFINITY:
            bound = min(bound, (descriptors - RESERVED_DESCRIPTORS) // REQUEST_DESCRIPTORS)
        return max(FALLBACK_CONNECTIONS, bound)

    def on_cut(self, cause: str) -> None:
        """Count and log a connection that a limit closed."""
        self.metrics.cut_callers.labels(cause).inc()
        logger().info("caller_cut", cause=cause)

    # Account --------------------------------------------------------------------------------

    def hold(self, exchange: CallerExchange) -> None:
        """Account for what has arrived of a request; make callers give way over the total."""
        number = exchange.stream.number
        if exchange.early_refusal is not None or exchange.stream.closed():
            self.release(exchange)
            return
        kind = HeldKind.WHOLE if exchange.is_read else HeldKind.PARTIAL
        factor = WHOLE_FACTOR if exchange.is_read else 1
        size = exchange.head_size + exchange.body_size * factor
        if size > 0 or exchange.is_read:
            self.exchanges[number] = exchange
        self.held.put(number, kind, size, self.context.timers.now(), exchange.has_key)
        self.make_room()

    def release(self, exchange: CallerExchange) -> None:
        """Remove a request from the account; a response that its caller has not read stays."""
        stream = exchange.stream
        if self.exchanges.get(stream.number) is not exchange:
            return
        del self.exchanges[stream.number]
        self.held.release(stream.number)
        self._hold_response(stream)

    def make_room(self) -> None:
        """Have callers give way until the account is within its total."""
        if self.held.held <= self.held.total:
            return
        for number in self.held.victims(self.context.timers.now()):
            exchange = self.exchanges.get(number)
            if exchange is not None:
                self._give_way(exchange)
                continue
            self.held.release(number)
            for stream in self._streams():
                if stream.number == number:
                    stream.cut("memory")

    def _give_way(self, exchange: CallerExchange) -> None:
        """Refuse a request; a failure must not reach the caller whose bytes made it give way."""
        try:
            self.evict(exchange)
        except Exception:
            logger().exception("eviction_failed", target=exchange.target)
            exchange.stream.close()
        self.release(exchange)

    def _hold_response(self, stream: CallerStream) -> None:
        if stream.number in self.exchanges:
            return
        size = 0 if stream.closed() else stream.unsent
        self.held.put(stream.number, HeldKind.RESPONSE, size, self.context.timers.now())

    # Progress -------------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Check all connections.

        :param now: responsive time in seconds, so that bytes which wait to be read count
        """
        streams = self._streams()
        for stream in streams:
            self._check(stream, now)
        for stream in streams:
            self._hold_response(stream)
        self._release_closed({stream.number for stream in streams if not stream.closed()})
        self.make_room()
        self.metrics.held_bytes.set(self.held.held)
        self.metrics.caller_connections.set(len(streams))

    def _release_closed(self, open_numbers: set[int]) -> None:
        """Release what is held for closed connections whose requests have ended."""
        for number in {*self.held.holdings, *self.exchanges}:
            exchange = self.exchanges.get(number)
            is_running = exchange is not None and exchange.is_running
            if number not in open_numbers and not is_running:
                self.exchanges.pop(number, None)
                self.held.release(number)

    def _streams(self) -> list[CallerStream]:
        return [stream for listener in self.listeners for stream in listener.streams]

    def _check(self, stream: CallerStream, now: float) -> None:
        """Cut off a connection that makes no progress."""
        settings = self.context.settings
        if stream.phase is Phase.REFUSED:
            if now - stream.since > DRAIN_TIME:
                stream.close()
        elif stream.unsent and now - stream.sent_at > settings.read_time:
            stream.cut("response")
        elif stream.phase is Phase.IDLE and now - stream.since > stream.listener.idle_timeout:
            stream.close()
        elif stream.phase is Phase.HEAD and now - stream.since > self.limits.header_timeout:
            stream.cut("head")
        elif stream.phase is Phase.BODY and now - stream.received_at > settings.body_time:
            stream.cut("body")
