"""Common functions of the long-running programs: identity, signals, secrets."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol, TypeVar

from returns.result import Failure

from bilberryshed.protocol import Hello
from bilberryshed.state import load_settings
from bilberryshed.transport import configure_logs, logger

EXIT_BAD_SETTINGS = 2
EXIT_DRAIN_LIMIT = 3


class VmSettings(Protocol):
    """Settings common to all long-running programs."""

    @property
    def name(self) -> str:
        """VM name."""

    @property
    def zone(self) -> str:
        """Availability zone."""

    @property
    def secret_file(self) -> Path | None:
        """File with the link secret."""


S = TypeVar("S", bound=VmSettings)


def hello(settings: VmSettings, role: str, boot: str) -> Hello:
    """Return the identification that this process sends on a link.

    :raises OSError: if the secret file cannot be read
    """
    secret = ""
    if settings.secret_file is not None:
        secret = settings.secret_file.read_text(encoding="utf-8").strip()
    return Hello(settings.name, boot, role, settings.zone, secret)


def run_program(
    program: str, cls: type[S], path: Path, serve: Callable[[S, asyncio.Event], Awaitable[bool]]
) -> None:
    """Load the settings, serve until SIGTERM or SIGINT, and exit the process.

    :param serve: serves until the event is set, then shuts down gracefully; returns whether all
        work was finished
    """
    settings = load_settings(cls, path)
    if isinstance(settings, Failure):
        for finding in settings.failure():
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    loaded = settings.unwrap()
    configure_logs(program, loaded.name)
    try:
        finished = asyncio.run(_run(loaded, serve))
    except OSError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(1)
    sys.exit(0 if finished else EXIT_DRAIN_LIMIT)


async def _run(settings: S, serve: Callable[[S, asyncio.Event], Awaitable[bool]]) -> bool:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    finished = await serve(settings, stop)
    logger().info("stopped", finished=finished)
    return finished
