"""Bytes of a body that arrives in pieces."""

BLOCK_SIZE = 65_536  # bytes


class BodyBuffer:
    """Collects a body in blocks of one size.

    One growing block would be moved again and again. Of many that grow at the same time, the places
    they leave are too small for any of them, so that the process takes much more than they hold.

    :param blocks: what has arrived, in order
    :param size: bytes that have arrived and are held
    """

    __slots__ = ("blocks", "size")

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> None:
        """Add the next bytes."""
        self.size += len(data)
        for start in range(0, len(data), BLOCK_SIZE):
            self._append(data[start : start + BLOCK_SIZE])

    def _append(self, data: bytes) -> None:
        """Add at most one block."""
        free = BLOCK_SIZE - len(self.blocks[-1]) if self.blocks else 0
        if free:
            self.blocks[-1] += data[:free]
        if len(data) > free:
            self.blocks.append(bytearray(data[free:]))

    def take(self) -> bytes:
        """Return the bytes, which are then no longer held here."""
        data = b"".join(self.blocks)
        self.clear()
        return data

    def clear(self) -> None:
        """Drop the bytes."""
        self.blocks, self.size = [], 0
