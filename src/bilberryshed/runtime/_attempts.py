"""Runs one attempt on one agent and gathers its frames."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from bilberryshed.coordination import ResponseDamagedError, ResponseVerifier
from bilberryshed.protocol import (
    Cancel,
    Chunk,
    Dispatch,
    Ended,
    Failed,
    NotRun,
    Started,
    split_tokens,
)
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Execution
from bilberryshed.runtime._funding_service import Reservation

DEADLINE_HEADROOM = 1.0  # seconds that an agent gets beyond the deadline to report its end


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link to the agent broke while the attempt was there."""

    attempt: str


@dataclass(slots=True, frozen=True)
class Damaged:
    """The frames do not form a whole answer."""

    attempt: str
    reason: str


AttemptResult = Ended | NotRun | Failed | LinkLost | Damaged
Frame = Started | Chunk | Ended | NotRun | Failed | LinkLost


class Attempts:
    """Open attempts of one router, by attempt id."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.frames: dict[str, asyncio.Queue[Frame]] = {}
        self.agent_of: dict[str, str] = {}

    def on_frame(self, frame: Frame) -> bool:
        """Hand a frame to its attempt.

        :returns: ``False`` if the attempt is closed or unknown, so that the frame is dropped
        """
        queue = self.frames.get(frame.attempt)
        if queue is None:
            self.context.metrics.count("frames_dropped")
            return False
        queue.put_nowait(frame)
        return True

    def on_link_down(self, agent: str) -> None:
        """Tell every attempt on an agent that its link is gone."""
        for attempt, name in self.agent_of.items():
            if name == agent:
                self.frames[attempt].put_nowait(LinkLost(attempt))

    async def run(
        self,
        execution: Execution,
        agent: str,
        attempt: str,
        reservation: Reservation,
        alone: bool,
    ) -> AttemptResult:
        """Dispatch an attempt and follow it to its end.

        :param alone: whether nothing else may run on the backend server meanwhile
        """
        dispatch = _dispatch(execution, attempt, reservation, alone)
        link = self.context.agent_links.get(agent)
        self.frames[attempt] = asyncio.Queue()
        self.agent_of[attempt] = agent
        try:
            if link is None or not link.send(dispatch):
                return NotRun(attempt, "no_capacity", f"no link to {agent}")
            return await self._follow(execution, agent, attempt, dispatch)
        finally:
            del self.frames[attempt]
            del self.agent_of[attempt]

    async def _follow(
        self, execution: Execution, agent: str, attempt: str, dispatch: Dispatch
    ) -> AttemptResult:
        check, queue = ResponseVerifier(attempt), self.frames[attempt]
        leaving = asyncio.ensure_future(self._cancel_if_abandoned(execution, agent, attempt))
        try:
            async with asyncio.timeout(dispatch.deadline + DEADLINE_HEADROOM):
                while True:
                    frame = await queue.get()
                    if isinstance(frame, Chunk):
                        if check.add(frame):
                            execution.add(frame.data)
                    elif isinstance(frame, Started):
                        execution.begin(frame.status, frame.content_type)
                    elif isinstance(frame, Ended):
                        _check_end(check, dispatch, frame)
                        return frame
                    else:
                        return frame
        except ResponseDamagedError as error:
            return Damaged(attempt, str(error))
        except TimeoutError:
            return LinkLost(attempt)
        finally:
            leaving.cancel()

    async def _cancel_if_abandoned(self, execution: Execution, agent: str, attempt: str) -> None:
        await execution.abandoned.wait()
        link = self.context.agent_links.get(agent)
        if link is not None:
            link.send(Cancel(attempt))


def _check_end(check: ResponseVerifier, dispatch: Dispatch, ended: Ended) -> None:
    check.finish(ended)
    record = ended.record
    same = record.attempt == dispatch.attempt and record.key == dispatch.key
    if not same or record.charges != split_tokens(dispatch.parts, record.tokens):
        raise ResponseDamagedError(f"usage record of {record.attempt!r} does not match")


def _dispatch(
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
        body=_body(execution, attempt) if call.model else call.body,
        priority=call.customer.priority,
        deadline=call.service.deadline,
        alone=alone,
    )


def _body(execution: Execution, attempt: str) -> bytes:
    """Return the engine's request; a resumed one carries the text delivered so far."""
    call = execution.call
    body: dict[str, Any] = {
        **call.payload,
        "model": call.model,
        "max_tokens": call.max_tokens,
        "stream": True,
        "request_id": attempt,
        "priority": call.customer.priority,
    }
    if execution.pieces:
        body["continue_text"] = b"".join(execution.pieces).decode()
    return json.dumps(body, ensure_ascii=False).encode()
