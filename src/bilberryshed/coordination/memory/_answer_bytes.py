"""Bytes held of backend servers' answers, and the answers that give way."""

from dataclasses import dataclass


@dataclass(slots=True)
class _HeldAnswer:
    """What has arrived of one answer.

    :param server: id of the backend server that sends it
    :param size: bytes that are kept of it
    """

    server: str
    size: int


class AnswerBytes:
    """Account of the bytes held of answers, by number of the answer.

    :param total: bytes that may be held of all answers together
    :param held: bytes that are held
    :param answers: what is held, by number
    """

    __slots__ = ("total", "held", "answers")

    def __init__(self, total: int) -> None:
        self.total = total
        self.held = 0
        self.answers: dict[int, _HeldAnswer] = {}

    def put(self, number: int, server: str, size: int) -> None:
        """Set the bytes held of an answer."""
        self.release(number)
        self.answers[number] = _HeldAnswer(server, size)
        self.held += size

    def release(self, number: int) -> None:
        """Remove what is held of an answer, if anything is."""
        answer = self.answers.pop(number, None)
        if answer is not None:
            self.held -= answer.size

    def victims(self) -> list[int]:
        """Return the numbers of the answers that give way so that the rest is within the total.

        They are the largest answers of the backend servers that send most, so that a faulty server
        costs its own requests. A single answer within the total never gives way.
        """
        excess = self.held - self.total
        if excess <= 0:
            return []
        sizes = self._by_server()
        chosen: list[int] = []
        while excess > 0:
            server = max(sizes, key=lambda name: sum(size for size, _ in sizes[name]))
            size, number = sizes[server].pop()
            excess -= size
            chosen.append(number)
        return chosen

    def _by_server(self) -> dict[str, list[tuple[int, int]]]:
        """Return sizes and numbers by server, the smallest first."""
        found: dict[str, list[tuple[int, int]]] = {}
        for number, answer in self.answers.items():
            found.setdefault(answer.server, []).append((answer.size, number))
        for sizes in found.values():
            sizes.sort()
        return found
