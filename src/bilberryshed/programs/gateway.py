"""``bilberryshed-gateway``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import defopt
from returns.result import Failure

from bilberryshed import __version__
from bilberryshed.gateway import Gateway
from bilberryshed.platform import gateway_ports
from bilberryshed.state import GatewaySettings, load_settings
from bilberryshed.transport import LogReporter, configure_piped_logs, logger

SETTINGS_VARIABLE = "BILBERRYSHED_BOOT"  # names the settings file if no argument does
EXIT_ERROR = 1
EXIT_BAD_SETTINGS = 2
EXIT_UNFINISHED = 3


async def _serve(settings: GatewaySettings, logs: LogReporter) -> bool:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: logger().info("reload", changed=False))
    ports = gateway_ports(settings.store, settings.store_timeout)
    gateway = Gateway(settings, ports)
    logs.start(gateway.context.timers)
    try:
        finished = await gateway.serve_until(stop)
        logger().info("stopped", finished=finished)
    finally:
        logs.finish()
    return finished


def run(settings: Path | None = None) -> None:
    """Run a gateway until SIGTERM, then finish its work and exit.

    Exit codes: 0 stopped with all work finished, 1 an address cannot be used, 2 settings have
    findings, 3 the stop's time passed with work left.

    :param settings: INI file; without it the file that BILBERRYSHED_BOOT names
    """
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, "gateway.ini"))
    loaded = load_settings(GatewaySettings, path)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    values = loaded.unwrap()
    logs = configure_piped_logs("bilberryshed-gateway", values.name)
    try:
        finished = asyncio.run(_serve(values, logs))
    except OSError as error:
        print(f"bilberryshed-gateway: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
    sys.exit(0 if finished else EXIT_UNFINISHED)


def main() -> None:
    """Entry point of the program."""
    defopt.run(run, version=__version__, argv=sys.argv[1:])


if __name__ == "__main__":
    main()
