"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import time
from typing import Any

import structlog

from bilberryshed.transport._log_pipe import LogFlusher, LogPipe, LogRateLimiter

LOGGED_LAG = 0.2  # seconds; longer lags of the event loop are logged


def configure_logs(program: str, vm: str, level: int = logging.INFO) -> None:
    """Write log events of this process to standard error.

    :param program: name of the program
    :param vm: name of the VM
    """
    _configure(program, vm, level, structlog.PrintLoggerFactory(sys.stderr), [])


def configure_piped_logs(program: str, vm: str, level: int = logging.INFO) -> LogFlusher:
    """Write log events to standard output without blocking on its reader.

    :param program: name of the program
    :param vm: name of the VM
    :returns: flusher of the buffered lines; start it once the event loop runs
    """
    pipe, rate_limiter = LogPipe(sys.stdout.fileno()), LogRateLimiter(time.monotonic)
    factory = structlog.PrintLoggerFactory(pipe)  # type: ignore[arg-type]
    _configure(program, vm, level, factory, [rate_limiter])
    return LogFlusher(pipe, rate_limiter)


def _configure(
    program: str,
    vm: str,
    level: int,
    factory: Any,
    first_processors: list[structlog.types.Processor],
) -> None:
    structlog.configure(
        processors=[
            *first_processors,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event", "program", "vm"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(program=program, vm=vm)
    for name in ("tornado.access", "tornado.general", "websockets", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def logger() -> Any:
    """Return the logger of this process."""
    return structlog.get_logger()


def log_loop_lag(seconds: float) -> None:
    """Log by how much the event loop was late, if it is worth a line."""
    if seconds > LOGGED_LAG:
        logger().warning("event_loop_lag", seconds=round(seconds, 3))
