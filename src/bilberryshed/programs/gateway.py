"""The ``bilberryshed-gateway`` program."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

from returns.result import Failure

from bilberryshed import __version__
from bilberryshed.gateway import Gateway
from bilberryshed.platform import gateway_ports
from bilberryshed.state import GatewaySettings, load_settings
from bilberryshed.transport import LogFlusher, configure_piped_logs, logger

SETTINGS_VARIABLE = "BILBERRYSHED_BOOT"  # names the settings file if no argument does
SETTINGS_POLL_INTERVAL = 3.0  # seconds between reads of the settings file
EXIT_ERROR = 1
EXIT_BAD_SETTINGS = 2
EXIT_UNFINISHED = 3


class SettingsReloader:
    """Applies changes of the settings file, found by polling or on SIGHUP.

    :param path: path of the settings file
    :param settings: settings read last
    """

    __slots__ = ("path", "settings", "gateway")

    def __init__(self, path: Path, settings: GatewaySettings, gateway: Gateway) -> None:
        self.path = path
        self.settings = settings
        self.gateway = gateway

    def reload(self) -> None:
        """Read the file; apply changed settings, or log the findings of invalid ones."""
        loaded = load_settings(GatewaySettings, self.path)
        if isinstance(loaded, Failure):
            findings = "; ".join(str(finding) for finding in loaded.failure())
            logger().error("reload_refused", findings=findings)
            return
        if loaded.unwrap() != self.settings:
            self.settings = loaded.unwrap()
            self.gateway.apply_settings(self.settings)

    def on_hangup(self) -> None:
        """Reload immediately; handler of SIGHUP."""
        logger().info("reload")
        self.reload()


async def _serve(path: Path, settings: GatewaySettings, log_flusher: LogFlusher) -> bool:
    stop = asyncio.Event()
    ports = gateway_ports(settings.store, settings.store_timeout)
    gateway = Gateway(settings, ports)
    reloader = SettingsReloader(path, settings, gateway)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.on_hangup)
    timers = gateway.context.timers
    timers.subscribe(SETTINGS_POLL_INTERVAL, lambda now: reloader.reload())
    log_flusher.start(timers)
    # Modules live as long as the process; without them, a full garbage collection is short enough
    # not to hold the event loop.
    gc.freeze()
    try:
        finished = await gateway.serve_until(stop)
        logger().info("stopped", finished=finished)
    finally:
        log_flusher.flush_at_exit()
    return finished


def run(settings: Path | None = None) -> None:
    """Run a gateway until SIGTERM, then finish its work and exit.

    Exit codes: 0 stopped with all work finished, 1 an address cannot be used, 2 settings have
    findings, 3 the time limit for stopping passed with work left.

    :param settings: INI file; by default the file named by BILBERRYSHED_BOOT, or else gateway.ini
    """
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, "gateway.ini"))
    loaded = load_settings(GatewaySettings, path)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    values = loaded.unwrap()
    log_flusher = configure_piped_logs("bilberryshed-gateway", values.name)
    try:
        finished = asyncio.run(_serve(path, values, log_flusher))
    except OSError as error:
        print(f"bilberryshed-gateway: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
    sys.exit(0 if finished else EXIT_UNFINISHED)


def main() -> None:
    """Entry point of the program.

    Without arguments, ``defopt`` is not imported, which shortens a restart after a fault.
    """
    if len(sys.argv) == 1:
        run()
        return
    import defopt

    defopt.run(run, version=__version__, argv=sys.argv[1:])


if __name__ == "__main__":
    main()
