"""Checks that the frames of an attempt form one whole answer."""

from dataclasses import dataclass, field

import xxhash

from bilberryshed.protocol import Chunk, Ended


class ResponseDamagedError(Exception):
    """Raised when frames are missing, or differ from what was sent."""


@dataclass(slots=True)
class ResponseVerifier:
    """Running check of one attempt's frames.

    :param attempt: attempt id that the frames must carry
    """

    attempt: str
    chunks: int = 0
    digest: xxhash.xxh3_128 = field(default_factory=xxhash.xxh3_128)

    def add(self, chunk: Chunk) -> bool:
        """Take in a chunk.

        :returns: whether it is new; a repeat is to be dropped
        :raises AnswerDamagedError: if an earlier chunk is missing or the attempt is another one
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

    def finish(self, ended: Ended) -> None:
        """Check the end of the answer.

        :raises AnswerDamagedError: if count or digest differ
        """
        if ended.attempt != self.attempt:
            raise ResponseDamagedError(f"end of attempt {ended.attempt!r}")
        if ended.chunks != self.chunks:
            raise ResponseDamagedError(f"{self.chunks} of {ended.chunks} chunks arrived")
        if ended.digest != self.digest.digest():
            raise ResponseDamagedError("digest of the answer differs")
