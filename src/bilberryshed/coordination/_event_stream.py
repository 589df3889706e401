"""Splits a stream of server-sent events into complete events, so that it can be resumed.

The time that this takes is proportional to the bytes, whatever the pieces in which they arrive.
"""

import re
from collections.abc import Iterator

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_BLANK_LINE = 4  # bytes
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventBuffer:
    """Buffers bytes until events are complete.

    :param pending: bytes of the incomplete event
    :param searched: number of these in which no blank line begins
    """

    __slots__ = ("pending", "searched")

    def __init__(self) -> None:
        self.pending = bytearray()
        self.searched = 0

    def __len__(self) -> int:
        return len(self.pending)

    def feed(self, data: bytes) -> list[bytes]:
        """Buffer bytes, and return the events that are now complete, with their blank lines."""
        self.pending += data
        events = list(self._complete_events())
        del self.pending[: sum(len(event) for event in events)]
        self.searched = max(0, len(self.pending) - _MAX_BLANK_LINE + 1)
        return events

    def _complete_events(self) -> Iterator[bytes]:
        end = 0
        for blank in _BLANK_LINE.finditer(self.pending, self.searched):
            yield bytes(self.pending[end : blank.end()])
            end = blank.end()

    def clear(self) -> None:
        """Discard the bytes of the incomplete event."""
        self.pending.clear()
        self.searched = 0


class EventSplitter:
    """Buffers bytes and returns complete events.

    :param buffer: the incomplete event
    :param last_id: id of the last complete event that had one, empty before the first
    :param events: number of complete events returned
    """

    __slots__ = ("buffer", "last_id", "events")

    def __init__(self, last_id: str = "") -> None:
        self.buffer = EventBuffer()
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes, and return those of the events that are now complete, possibly none."""
        events = self.buffer.feed(data)
        for event in events:
            self._record_event(event)
        return b"".join(events)

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        found = _ID_LINE.search(event)
        if found:
            self.last_id = found.group(1).decode()

    def discard_partial(self) -> None:
        """Discard the buffered bytes of an incomplete event."""
        self.buffer.clear()
