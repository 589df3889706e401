"""Cuts a server-sent event stream into whole events, so that one that broke off can be resumed."""

import re

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Collects bytes and hands out whole events.

    :param last_id: id of the last whole event handed out, empty before the first
    :param events: whole events handed out
    """

    __slots__ = ("buffer", "last_id", "events")

    def __init__(self, last_id: str = "") -> None:
        self.buffer = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; return those of the events that are now whole, possibly none."""
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
        """Forget the bytes of an event that broke off."""
        self.buffer = b""
