"""``bilberryshed-standin``: runs the stand-ins listed in an INI file, in one process."""

import asyncio
import configparser
import signal
import sys
import time
from pathlib import Path

import defopt
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bilberryshed import __version__
from bilberryshed.state import Address, Vm
from bilberryshed.transport import configure_logs, logger
from bilberryshed_standins._booking import BookingStandin
from bilberryshed_standins._engine import EngineSettings, EngineStandin
from bilberryshed_standins._engine_core import EngineLimits
from bilberryshed_standins._platform import LaggingVmList, PlatformStandin, WeightStore

LISTEN_BACKLOG = 1024  # connections that may wait to be accepted


def run(settings: Path) -> None:
    """Run stand-ins until SIGTERM.

    Sections are ``[platform]``, ``[vm NAME]``, ``[engine NAME]`` and ``[service NAME]``.

    :param settings: INI file that lists the stand-ins
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with settings.open(encoding="utf-8") as file:
            parser.read_file(file)
        asyncio.run(_serve(parser))
    except (OSError, configparser.Error, KeyError, ValueError) as error:
        sys.exit(f"{settings}: {error}")


async def _serve(parser: configparser.ConfigParser) -> None:
    configure_logs("bilberryshed-standin", "standin")
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        options = parser[section]
        if kind == "platform":
            _listen(_platform(parser).application(), options["listen"])
        elif kind == "engine":
            engine = _engine(name, options)
            engine.start()
            _listen(engine.application(), options["listen"])
        elif kind == "service":
            _listen(BookingStandin(name).application(), options["listen"])
        elif kind != "vm":
            raise ValueError(f"unknown section [{section}]")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    logger().info("started", sections=len(parser.sections()))
    await stop.wait()


def _listen(application: Application, address: str) -> None:
    parsed = Address.parse(address)
    HTTPServer(application).listen(parsed.port, parsed.host, backlog=LISTEN_BACKLOG)


def _platform(parser: configparser.ConfigParser) -> PlatformStandin:
    options = parser["platform"]
    vm_list = LaggingVmList(options.getfloat("vm_list_lag", 0.5))
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind == "vm":
            vm = parser[section]
            entry = Vm(name, vm["role"], vm["zone"], vm["link"], vm.get("state", "live"))
            vm_list.set(time.monotonic() - vm_list.lag, entry)
    return PlatformStandin(vm_list, WeightStore(options.getfloat("weight_rate", 1e9)))


def _engine(name: str, options: configparser.SectionProxy) -> EngineStandin:
    limits = EngineLimits(
        slots=options.getint("slots", 16),
        prefill=options.getint("prefill", 512),
        cache_blocks=options.getint("cache_blocks", 512),
    )
    return EngineStandin(
        EngineSettings(
            name=name,
            models=tuple(options.get("models", "").split()),
            step=options.getfloat("step", 0.01),
            checks_fencing=options.getboolean("checks_fencing", True),
            load_lag=options.getfloat("load_lag", 0.2),
            restart=options.getfloat("restart", 2.0),
            limits=limits,
        )
    )


def main() -> None:
    """Entry point of the program."""
    defopt.run(run, version=__version__, argv=sys.argv[1:])
