"""Splits a stream of server-sent events into complete events, so that it can be resumed.

The time that this takes is proportional to the bytes, whatever the pieces in which they arrive.
"""

import re
from collections.abc import Iterator

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_MAX_BLANK_LINE = 4  # bytes
MAX_SHOWN = 60  # bytes shown of what is no event
_ID_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)


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

    The ids of a stream's events increase. Anything else than an event, after one that had an id,
    is not part of the stream: it may be the text of an error.

    :param buffer: the incomplete event
    :param last_id: id of the last complete event that had one, empty before the first
    :param events: number of complete events returned
    :param fault: why the bytes after the last event returned are not the next one, empty if none
    """

    __slots__ = ("buffer", "last_id", "events", "fault")

    def __init__(self, last_id: str = "") -> None:
        self.buffer = EventBuffer()
        self.last_id = last_id
        self.events = 0
        self.fault = ""

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes, and return those of the events that are now complete, possibly none."""
        accepted: list[bytes] = []
        for event in () if self.fault else self.buffer.feed(data):
            found = _ID_LINE.search(event)
            id_ = found.group(1).decode() if found else ""
            self.fault = self._find_fault(event, id_)
            if self.fault:
                self.buffer.clear()
                break
            self.events += 1
            self.last_id = id_ or self.last_id
            accepted.append(event)
        return b"".join(accepted)

    def _find_fault(self, event: bytes, id_: str) -> str:
        """Return why an event cannot follow the last one, empty if it can."""
        if not self.last_id or _is_comment(event):
            return ""
        if not id_:
            return f"after event {self.last_id} came no event: {event[:MAX_SHOWN]!r}"
        if int(id_) <= int(self.last_id):
            return f"after event {self.last_id} came event {id_}"
        return ""

    def start_attempt(self) -> None:
        """Discard an incomplete event and a fault, as another attempt goes on with the stream."""
        self.buffer.clear()
        self.fault = ""


def _is_comment(event: bytes) -> bool:
    return all(line.startswith(b":") for line in event.split(b"\n") if line.strip())
