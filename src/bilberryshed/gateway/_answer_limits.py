"""Limit of the memory that answers of backend servers take together."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

from bilberryshed.coordination.memory import AnswerBytes
from bilberryshed.gateway._attempt import Attempt
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._job import Job
from bilberryshed.transport import ResponseError, logger

MEGABYTE = 1_000_000
ANSWER_SHARE = 0.15  # share of the memory; an answer is copied once when it is complete


class AnswerCutError(ResponseError):
    """An answer had to give way, as the answers of all backend servers took too much memory."""


class HeldAnswer:
    """What is held of one answer.

    :param number: its number in the account
    :param on_cut: called when it has to give way
    :param is_cut: whether it had to
    """

    __slots__ = ("limiter", "number", "job", "server", "on_cut", "is_cut")

    def __init__(
        self,
        limiter: "AnswerLimiter",
        number: int,
        job: Job,
        server: str,
        on_cut: Callable[[], None],
    ) -> None:
        self.limiter = limiter
        self.number = number
        self.job = job
        self.server = server
        self.on_cut = on_cut
        self.is_cut = False

    def hold(self, size: int) -> None:
        """Account for the bytes that are kept now.

        :raises AnswerCutError: if the answer has to give way
        """
        if not self.is_cut:
            self.limiter.put(self, size)
        if self.is_cut:
            raise AnswerCutError("the answers of all backend servers take too much memory")

    def cut(self) -> None:
        """Give way."""
        self.is_cut = True
        self.on_cut()


class AnswerLimiter:
    """Cuts off the largest answers of the servers that send most while all take too much memory.

    :param account: bytes held of answers
    :param answers: these answers by their number
    """

    __slots__ = ("context", "account", "answers", "numbers")

    def __init__(self, context: GatewayContext, largest: int) -> None:
        """Set the total of the account; the largest answer always fits.

        :param largest: bytes of the largest answer
        """
        share = int(context.settings.memory * MEGABYTE * ANSWER_SHARE)
        self.context = context
        self.account = AnswerBytes(max(share, largest))
        self.answers: dict[int, HeldAnswer] = {}
        self.numbers = count()

    @contextmanager
    def open(self, job: Job, attempt: Attempt) -> Iterator[HeldAnswer]:
        """Hold the answer that is read in this block; if it gives way, its channel is closed.

        :raises AnswerCutError: if it has to give way, whatever the read then reports
        """
        assert attempt.connection is not None
        answer = self._add(job, attempt.server, attempt.connection.abort)
        try:
            yield answer
        except ResponseError as error:
            if answer.is_cut and not isinstance(error, AnswerCutError):
                raise AnswerCutError("the answer had to give way") from error
            raise
        finally:
            self._release(answer.number)

    def keep_failed(self, job: Job, size: int) -> None:
        """Hold the error response that a request gets if its retries bring no better one."""
        self.release_failed(job)
        answer = self._add(job, job.server, job.drop_failed_response)
        job.failed_answer = answer.number
        self.put(answer, size)

    def release_failed(self, job: Job) -> None:
        """Remove what is held of a request's error response, if anything is."""
        if job.failed_answer is not None:
            self._release(job.failed_answer)
            job.failed_answer = None

    def _add(self, job: Job, server: str, on_cut: Callable[[], None]) -> HeldAnswer:
        answer = HeldAnswer(self, next(self.numbers), job, server, on_cut)
        self.answers[answer.number] = answer
        return answer

    def _release(self, number: int) -> None:
        self.answers.pop(number, None)
        self.account.release(number)

    def put(self, answer: HeldAnswer, size: int) -> None:
        """Set the bytes held of an answer, and have answers give way over the total."""
        self.account.put(answer.number, answer.server, size)
        for number in self.account.victims():
            self.account.release(number)
            victim = self.answers[number]
            victim.cut()
            self.context.metrics.count("answers_cut")
            logger().warning("answer_cut", request=victim.job.request.id, server=victim.server)
