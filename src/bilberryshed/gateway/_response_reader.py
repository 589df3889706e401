"""Reads a backend server's response to one request."""

import asyncio

from bilberryshed.gateway._answer_limits import AnswerLimiter
from bilberryshed.gateway._attempt import Attempt
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import BackendResponse
from bilberryshed.gateway._job import Job
from bilberryshed.gateway._silence_watch import FIRST_BYTE_FACTOR, SilenceWatch
from bilberryshed.transport import BackendConnection, BodyBuffer, ResponseError, logger

MAX_BODY_BYTES = 8_000_000  # bytes of a response that is not a stream; longer ones are broken off
DISCARD_TIMEOUT = 0.3  # seconds for the rest of a response that proves that its request was not run


class ResponseReader:
    """Reads heads and whole bodies; :class:`StreamRelay` reads streams."""

    __slots__ = ("context", "answer_limits")

    def __init__(self, context: GatewayContext, answer_limits: AnswerLimiter) -> None:
        self.context = context
        self.answer_limits = answer_limits

    async def read_head(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> BackendResponse:
        """Read the response head of this request; skip responses to other requests."""
        connection = attempt.connection
        assert connection is not None
        watch.restart(FIRST_BYTE_FACTOR)
        while True:
            head = await watch.read(connection.read_head)
            response = self.context.dialect.parse_response(head)
            if response.is_rejection and not response.request:
                attempt.view.omits_ids = True
            if self._is_response_to(job, connection, response):
                break
            logger().warning(
                "mismatched_response",
                request=job.request.id,
                found=response.request,
                status=response.status,
                server=attempt.server,
            )
            await watch.read(connection.skip_response)
        if not response.request and not response.is_rejection:
            raise ResponseError(f"answer {response.status} does not name its request")
        if 200 <= response.status < 300 and not response.signed:
            raise ResponseError(f"answer {response.status} is not signed")
        return response

    def _is_response_to(
        self, job: Job, connection: BackendConnection, response: BackendResponse
    ) -> bool:
        """Whether a response may belong to this request.

        A rejection that names no request may be a copy of an earlier one, unless the connection
        carries its first request. It is then no proof that a request that must not be repeated did
        not run.
        """
        if response.request:
            return response.request == job.request.id
        return not response.is_rejection or connection.is_first_use or job.route.retryable

    async def read_body(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> bytes:
        """Read a whole body.

        :raises ResponseError: if it is longer than ``MAX_BODY_BYTES``, or has to give way to others
        """
        connection, response, body = attempt.connection, attempt.response, BodyBuffer()
        assert connection is not None and response is not None
        if response.status < 500:
            watch.restart(FIRST_BYTE_FACTOR)
        with self.answer_limits.open(job, attempt) as answer:
            while chunk := await watch.read(connection.read_body):
                body.append(chunk)
                if len(body) > MAX_BODY_BYTES:
                    raise ResponseError(f"the answer has more than {MAX_BODY_BYTES} bytes")
                answer.hold(len(body))
            answer.hold(len(body))
            return body.take()

    async def discard_body(self, connection: BackendConnection) -> bool:
        """Read the rest of a response that proves that the request was not run.

        A broken body does not weaken the proof, which is in the head.

        :returns: whether it was read completely
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT):
                while await connection.read_body():
                    pass
        except (TimeoutError, ResponseError):
            return False
        return True
