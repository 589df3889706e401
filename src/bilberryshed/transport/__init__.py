"""Timers, background tasks, logs, metrics, TLS, HTTP and links."""

from bilberryshed.transport._body_buffer import BodyBuffer
from bilberryshed.transport._caller_streams import (
    DRAIN_TIME,
    CallerListener,
    CallerStream,
    Phase,
)
from bilberryshed.transport._connections import (
    BackendConnection,
    ConnectError,
    ConnectionPool,
    ConnectTimeoutError,
    HeaderList,
    ResponseError,
    ResponseHead,
)
from bilberryshed.transport._early_refusal import (
    BodylessServer,
    EarlyRefusal,
    announces_body,
    cap_length,
)
from bilberryshed.transport._http import (
    HttpError,
    describe_error,
    fetch_response,
    http_client,
    read_quiet_time,
)
from bilberryshed.transport._link_monitor import LinkMonitor
from bilberryshed.transport._links import (
    Link,
    LinkClient,
    LinkHandlers,
    LinkServer,
    MessageDispatcher,
)
from bilberryshed.transport._log_pipe import LogFlusher, LogPipe, LogRateLimiter
from bilberryshed.transport._logs import (
    configure_logs,
    configure_piped_logs,
    log_loop_lag,
    logger,
)
from bilberryshed.transport._metrics import Metrics
from bilberryshed.transport._platform import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    http_platform,
)
from bilberryshed.transport._quarantine_exchange import Admittance, QuarantineExchange
from bilberryshed.transport._quarantine_rows import QuarantinePorts
from bilberryshed.transport._slices import run_in_slices
from bilberryshed.transport._tasks import BackgroundTasks, new_boot_id
from bilberryshed.transport._timers import (
    ResponsiveTimeout,
    Subscription,
    TimerService,
    next_multiple,
)
from bilberryshed.transport._tls import client_tls_context, server_tls_context

__all__ = [
    "BodylessServer",
    "CallerListener",
    "CallerStream",
    "DRAIN_TIME",
    "EarlyRefusal",
    "Phase",
    "announces_body",
    "cap_length",
    "Admittance",
    "QuarantineExchange",
    "QuarantinePorts",
    "ResponseHead",
    "ResponseError",
    "BackgroundTasks",
    "BackendConnection",
    "BodyBuffer",
    "ConnectionPool",
    "ConnectError",
    "ConnectTimeoutError",
    "HeaderList",
    "HttpError",
    "HttpObjectStore",
    "HttpTableService",
    "HttpVmList",
    "LogRateLimiter",
    "Link",
    "LinkClient",
    "LinkHandlers",
    "LinkMonitor",
    "LinkServer",
    "LogPipe",
    "LogFlusher",
    "MessageDispatcher",
    "Metrics",
    "Subscription",
    "ResponsiveTimeout",
    "TimerService",
    "client_tls_context",
    "configure_logs",
    "configure_piped_logs",
    "describe_error",
    "fetch_response",
    "http_client",
    "read_quiet_time",
    "run_in_slices",
    "http_platform",
    "log_loop_lag",
    "logger",
    "new_boot_id",
    "next_multiple",
    "server_tls_context",
]
