"""Verifies that the frames of an attempt form one complete response."""

from dataclasses import dataclass, field

import xxhash

from bilberryshed.protocol import Chunk, Completed


class ResponseDamagedError(Exception):
    """Raised when frames are missing or their content differs from what was sent."""


@dataclass(slots=True)
class ResponseVerifier:
    """Incremental verification of one attempt's frames.

    :param attempt: attempt id that the frames must carry
    """

    attempt: str
    chunks: int = 0
    digest: xxhash.xxh3_128 = field(default_factory=xxhash.xxh3_128)

    def add(self, chunk: Chunk) -> bool:
        """Verify the position of a chunk and add it to the digest.

        :returns: whether it is new; the caller drops a duplicate
        :raises ResponseDamagedError: if an earlier chunk is missing or the attempt id differs
        """
        if chunk.attempt != self.attempt:
            raise ResponseDamagedError(f"chunk of attempt {chunk.attempt!r}")
        if chunk.sequence < self.chunks:
            return False
        if chunk.sequence > self.chunks:
            raise ResponseDamagedError(f"chunk {self.chunks} is missing before {chunk.sequence}")
        self.chunks += 1
        self.digest.update(chunk.data)
        return True

    def finish(self, completed: Completed) -> None:
        """Verify the chunk count and the digest at the end of the response.

        :raises ResponseDamagedError: if the attempt id, the count or the digest differs
        """
        if completed.attempt != self.attempt:
            raise ResponseDamagedError(f"end of attempt {completed.attempt!r}")
        if completed.chunks != self.chunks:
            raise ResponseDamagedError(f"{self.chunks} of {completed.chunks} chunks arrived")
        if completed.digest != self.digest.digest():
            raise ResponseDamagedError("digest of the answer differs")
