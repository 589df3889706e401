"""Dispatch of attempts to agents and reception of their frames."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from bilberryshed.coordination import ResponseDamagedError, ResponseVerifier
from bilberryshed.protocol import (
    Cancel,
    Chunk,
    Completed,
    Dispatch,
    Failed,
    NotRun,
    Started,
    allocate_tokens,
)
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Execution
from bilberryshed.runtime._funding_service import Reservation

DEADLINE_MARGIN = (
    1.0  # responsive seconds after the deadline for the agent to report the end of the attempt
)


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link to the agent was lost, or the agent sent no result by the deadline."""

    attempt: str


@dataclass(slots=True, frozen=True)
class Damaged:
    """The received frames do not form a complete, consistent response."""

    attempt: str
    reason: str


AttemptResult = Completed | NotRun | Failed | LinkLost | Damaged
Frame = Started | Chunk | Completed | NotRun | Failed | LinkLost


class Attempts:
    """In-flight attempts of one router, by attempt id."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.frame_queues: dict[str, asyncio.Queue[Frame]] = {}
        self.agent_by_attempt: dict[str, str] = {}

    def on_frame(self, frame: Frame) -> bool:
        """Enqueue a frame for its attempt.

        :returns: ``False`` if the attempt is closed or unknown and the frame was dropped
        """
        queue = self.frame_queues.get(frame.attempt)
        if queue is None:
            self.context.metrics.count("frames_dropped")
            return False
        queue.put_nowait(frame)
        return True

    def on_link_down(self, agent: str) -> None:
        """Report the loss of the link to every attempt on an agent."""
        for attempt, name in self.agent_by_attempt.items():
            if name == agent:
                self.frame_queues[attempt].put_nowait(LinkLost(attempt))

    async def run(
        self,
        execution: Execution,
        agent: str,
        attempt: str,
        reservation: Reservation,
        alone: bool,
    ) -> AttemptResult:
        """Dispatch an attempt and process its frames until it ends.

        :param alone: whether the attempt needs exclusive use of the backend server
        """
        dispatch = _build_dispatch(execution, attempt, reservation, alone)
        link = self.context.agent_links.get(agent)
        self.frame_queues[attempt] = asyncio.Queue()
        self.agent_by_attempt[attempt] = agent
        try:
            if link is None or not link.send(dispatch):
                return NotRun(attempt, "no_capacity", f"no link to {agent}")
            return await self._receive_frames(execution, agent, attempt, dispatch)
        finally:
            del self.frame_queues[attempt]
            del self.agent_by_attempt[attempt]

    async def _receive_frames(
        self, execution: Execution, agent: str, attempt: str, dispatch: Dispatch
    ) -> AttemptResult:
        verifier, queue = ResponseVerifier(attempt), self.frame_queues[attempt]
        cancel_task = asyncio.ensure_future(self._cancel_if_abandoned(execution, agent, attempt))
        try:
            limit = dispatch.deadline + DEADLINE_MARGIN
            async with self.context.timers.timeout(limit):
                while True:
                    frame = await queue.get()
                    if isinstance(frame, Chunk):
                        if verifier.add(frame):
                            execution.add(frame.data)
                    elif isinstance(frame, Started):
                        execution.start_response(frame.status, frame.content_type)
                    elif isinstance(frame, Completed):
                        _verify_end(verifier, dispatch, frame)
                        return frame
                    else:
                        return frame
        except ResponseDamagedError as error:
            return Damaged(attempt, str(error))
        except TimeoutError:
            return LinkLost(attempt)
        finally:
            cancel_task.cancel()

    async def _cancel_if_abandoned(self, execution: Execution, agent: str, attempt: str) -> None:
        await execution.abandoned.wait()
        link = self.context.agent_links.get(agent)
        if link is not None:
            link.send(Cancel(attempt))


def _verify_end(verifier: ResponseVerifier, dispatch: Dispatch, completed: Completed) -> None:
    verifier.finish(completed)
    record = completed.record
    matches = record.attempt == dispatch.attempt and record.key == dispatch.key
    if not matches or record.charges != allocate_tokens(dispatch.parts, record.tokens):
        raise ResponseDamagedError(f"usage record of {record.attempt!r} does not match")


def _build_dispatch(
    execution: Execution, attempt: str, reservation: Reservation, alone: bool
) -> Dispatch:
    call = execution.call
    return Dispatch(
        attempt=attempt,
        request=call.request,
        customer=call.customer.name,
        budget=call.budget.name,
        key=call.key,
        service=call.service.name,
        model=call.model,
        idempotent=call.service.idempotent,
        parts=reservation.parts,
        price=call.service.price,
        method=call.method,
        path=call.path,
        body=_engine_body(execution, attempt) if call.model else call.body,
        priority=call.customer.priority,
        deadline=call.service.deadline,
        alone=alone,
    )


def _engine_body(execution: Execution, attempt: str) -> bytes:
    """Return the request body for the engine.

    When a partly delivered response is resumed, the body contains the text delivered so far.
    """
    call = execution.call
    body: dict[str, Any] = {
        **call.payload,
        "model": call.model,
        "max_tokens": call.max_tokens,
        "stream": True,
        "request_id": attempt,
        "priority": call.customer.priority,
    }
    if execution.chunks:
        body["continue_text"] = b"".join(execution.chunks).decode()
    return json.dumps(body, ensure_ascii=False).encode()
