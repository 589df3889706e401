"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(program: str, vm: str, level: int = logging.INFO) -> None:
    """Send log events of this process to standard error.

    :param program: name of the program
    :param vm: name of the VM
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event", "program", "vm"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(program=program, vm=vm)
    for name in ("tornado.access", "websockets", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def logger() -> Any:
    """Return the logger of this process."""
    return structlog.get_logger()
