"""Timers, logs, metrics, HTTP and links."""

from bilberryshed.transport._channels import (
    AnswerHead,
    BrokenAnswerError,
    Channel,
    ChannelPool,
    ChannelRefusedError,
    HeaderList,
)
from bilberryshed.transport._http import HttpError, describe_error, http_client
from bilberryshed.transport._links import (
    Link,
    LinkClient,
    LinkHandlers,
    LinkServer,
    MessageTable,
)
from bilberryshed.transport._log_pipe import LineBudget, LogPipe, LogReporter
from bilberryshed.transport._logs import configure_logs, configure_piped_logs, logger
from bilberryshed.transport._metrics import Metrics
from bilberryshed.transport._platform import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    http_platform,
)
from bilberryshed.transport._tasks import BackgroundTasks, new_boot_id
from bilberryshed.transport._timers import Subscription, TimerService
from bilberryshed.transport._tls import client_context, server_context

__all__ = [
    "AnswerHead",
    "BrokenAnswerError",
    "BackgroundTasks",
    "Channel",
    "ChannelPool",
    "ChannelRefusedError",
    "HeaderList",
    "HttpError",
    "HttpObjectStore",
    "HttpTableService",
    "HttpVmList",
    "LineBudget",
    "Link",
    "LinkClient",
    "LinkHandlers",
    "LinkServer",
    "LogPipe",
    "LogReporter",
    "MessageTable",
    "Metrics",
    "Subscription",
    "TimerService",
    "client_context",
    "configure_logs",
    "configure_piped_logs",
    "describe_error",
    "http_client",
    "http_platform",
    "logger",
    "new_boot_id",
    "server_context",
]
