"""A loopback proxy that injects network faults into the connections through it."""

import asyncio
import random
from enum import StrEnum

READ_SIZE = 65_536  # bytes, at most, in one read
MAX_DELAY = 0.15  # seconds, longest delay of one read


class NetworkFault(StrEnum):
    """Faults that a proxy injects.

    ``DELAY`` delays each read at random, ``RESET`` aborts open and new connections, ``SILENCE``
    forwards nothing, ``ONE_WAY`` forwards only to the server, ``REFUSE`` aborts new connections.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards connections to one address; :meth:`set_fault` injects a fault.

    :param target: host and port of the server
    """

    __slots__ = ("target", "fault", "server", "address", "writers", "rng")

    def __init__(self, target: tuple[str, int], rng: random.Random) -> None:
        self.target = target
        self.fault = NetworkFault.NONE
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.rng = rng

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_fault(self, fault: NetworkFault) -> None:
        """Set the fault; a reset aborts all open connections at once."""
        self.fault = fault
        if fault is NetworkFault.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault in (NetworkFault.RESET, NetworkFault.REFUSE):
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, server_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, True),
                self._forward(server_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= pair
            for end in pair:
                end.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        while data := await reader.read(READ_SIZE):
            if self.fault is NetworkFault.DELAY:
                await asyncio.sleep(self.rng.uniform(0, MAX_DELAY))
            while self.fault is NetworkFault.SILENCE or (
                self.fault is NetworkFault.ONE_WAY and not to_server
            ):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
