"""A loopback proxy that harms the channels that go through it."""

import asyncio
import random
from enum import StrEnum

PIECE = 65_536  # bytes
LONG_DELAY = 0.15  # seconds


class Harm(StrEnum):
    """What a proxy does to channels."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class HarmfulProxy:
    """Forwards channels to one address; ``harm`` is switched from outside.

    :param target: host and port
    """

    __slots__ = ("target", "harm", "server", "address", "writers", "dice")

    def __init__(self, target: tuple[str, int], dice: random.Random) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.dice = dice

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_harm(self, harm: Harm) -> None:
        """Switch the harm; a reset strikes all open channels at once."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and close all channels."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm in (Harm.RESET, Harm.REFUSE):
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, back}
        self.writers |= pair
        try:
            await asyncio.gather(self._pump(reader, back, True), self._pump(there, writer, False))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= pair
            for end in pair:
                end.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, inward: bool
    ) -> None:
        while data := await reader.read(PIECE):
            if self.harm is Harm.DELAY:
                await asyncio.sleep(self.dice.uniform(0, LONG_DELAY))
            while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and not inward):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
