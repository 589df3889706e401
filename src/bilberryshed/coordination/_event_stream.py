"""Splits a stream of server-sent events into complete events, so that it can be resumed."""

import re

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Buffers bytes and returns complete events.

    :param last_id: id of the last complete event that had one, empty before the first
    :param events: number of complete events returned
    """

    __slots__ = ("buffer", "last_id", "events")

    def __init__(self, last_id: str = "") -> None:
        self.buffer = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes, and return those of the events that are now complete, possibly none."""
        self.buffer += data
        end = 0
        for blank in _BLANK_LINE.finditer(self.buffer):
            self._record_event(self.buffer[end : blank.end()])
            end = blank.end()
        whole, self.buffer = self.buffer[:end], self.buffer[end:]
        return whole

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        found = _ID_LINE.search(event)
        if found:
            self.last_id = found.group(1).decode()

    def discard_partial(self) -> None:
        """Discard the buffered bytes of an incomplete event."""
        self.buffer = b""
