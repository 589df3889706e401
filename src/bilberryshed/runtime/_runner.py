"""Answers requests: reservation, claim, attempts, bill."""

import asyncio
import uuid
from collections import OrderedDict

from returns.result import Failure, Result, Success

from bilberryshed.coordination import Claim, ClaimAcquired, ClaimHeld, ClaimState, QuarantineState
from bilberryshed.protocol import (
    Ended,
    Failed,
    NotRun,
    Outcome,
    Refusal,
    RefusalCode,
)
from bilberryshed.runtime._agent_queue import AgentQueue
from bilberryshed.runtime._attempts import AttemptResult, Attempts, Damaged
from bilberryshed.runtime._billing import Billing, OpenBill
from bilberryshed.runtime._claim_service import ClaimService, journal_entry, recorded_answer
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Call, Execution, Usage
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._quarantine_service import QuarantineService
from bilberryshed.runtime._slo_monitor import SloMonitor
from bilberryshed.transport import logger

MAX_KEPT_ANSWERS = 2_000  # finished executions kept for retries
NOT_RUN_PAUSE = 0.02  # seconds before another agent is asked after one had no room
RETRY_SOON = 2  # seconds


class Runner:
    """All requests of one router."""

    def __init__(
        self,
        context: RouterContext,
        funding: FundingService,
        billing: Billing,
        claims: ClaimService,
        slo: SloMonitor,
        quarantine: QuarantineService,
        agents: AgentQueue,
    ) -> None:
        self.context = context
        self.funding = funding
        self.billing = billing
        self.claims = claims
        self.slo = slo
        self.quarantine = quarantine
        self.agents = agents
        self.attempts = Attempts(context)
        self.running: dict[str, Execution] = {}
        self.finished: OrderedDict[str, Execution] = OrderedDict()

    def open(self, call: Call) -> Result[Execution, Refusal]:
        """Start a request, or join the one that has its bill id."""
        known = self.running.get(call.bill_id) or self.finished.get(call.bill_id)
        if known is not None and known.call.fingerprint != call.fingerprint:
            reason = f"idempotency key {call.key!r} was used for another request"
            return Failure(Refusal(RefusalCode.KEY_REUSED, reason))
        if known is None:
            known = Execution(call, self.context.timers.now())
            self.running[call.bill_id] = known
            self.context.spawn(self._execute(known))
        else:
            self.context.metrics.count("joined")
        known.followers += 1
        return Success(known)

    async def _execute(self, execution: Execution) -> None:
        call = execution.call
        try:
            refusal = await self._answer(execution)
        except Exception as error:
            logger().error("execution_failed", request=call.request, error=repr(error))
            reason = "the router failed while answering"
            refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, reason, Outcome.UNKNOWN)
        if refusal is not None:
            execution.refuse(refusal)
            self.context.metrics.count(f"refused_{refusal.code}")
            logger().info(
                "refused", request=call.request, code=refusal.code, outcome=refusal.outcome
            )
        self.slo.note(execution, refusal)
        del self.running[call.bill_id]
        if refusal is None and call.keyed:
            self._keep(execution)

    def _keep(self, execution: Execution) -> None:
        self.finished[execution.call.bill_id] = execution
        while len(self.finished) > MAX_KEPT_ANSWERS:
            self.finished.popitem(last=False)

    async def _answer(self, execution: Execution) -> Refusal | None:
        call = execution.call
        if self.quarantine.standing(call.content) is QuarantineState.BLOCKED:
            return _quarantined(Outcome.NOT_RUN)
        open_bill = self.billing.open_bills.pop(call.bill_id, None)
        if open_bill is None:
            reserved = await self.funding.reserve(
                call.budget, call.bound, self.context.settings.funding_wait
            )
            if isinstance(reserved, Failure):
                return reserved.failure()
            open_bill = OpenBill(call, reserved.unwrap())
        if call.service.idempotent:
            return await self._run_idempotent(execution, open_bill)
        return await self._run_once(execution, open_bill)

    # Idempotent requests --------------------------------------------------------------------

    async def _run_idempotent(self, execution: Execution, open_bill: OpenBill) -> Refusal | None:
        excluded: set[str] = set()
        result: AttemptResult | None = None
        started = bool(open_bill.lost)
        tries = self.context.settings.attempts
        patience = self.context.timers.now() + self.context.settings.queue_wait
        while tries > 0:
            if self.quarantine.standing(execution.call.content) is QuarantineState.BLOCKED:
                self.billing.conclude_unanswered(open_bill)
                return _quarantined(Outcome.UNKNOWN if started else Outcome.NOT_RUN)
            agent = await self.agents.find(execution.call, excluded)
            if agent is None:
                break
            result = await self._attempt(execution, agent, uuid.uuid4().hex, open_bill)
            if isinstance(result, Ended):
                self._complete(execution, open_bill, agent, result)
                return None
            self.context.metrics.count("retries")
            if isinstance(result, NotRun):
                if self.context.timers.now() >= patience:
                    break
                await asyncio.sleep(NOT_RUN_PAUSE)
                continue
            started = True
            tries -= 1
            excluded.add(agent)
        self.billing.conclude_unanswered(open_bill)
        return _give_up(execution.call, result, started)

    async def _attempt(
        self, execution: Execution, agent: str, attempt: str, open_bill: OpenBill
    ) -> AttemptResult:
        content = execution.call.content
        alone = self.quarantine.standing(content) is QuarantineState.SUSPECT
        result = await self.attempts.run(execution, agent, attempt, open_bill.reservation, alone)
        now = self.context.timers.now()
        if isinstance(result, Failed) and result.crashed and execution.call.model:
            self.quarantine.on_crash(content, alone)
        elif isinstance(result, Ended):
            self.quarantine.on_success(content)
        if isinstance(result, NotRun):
            self.context.routing.released(agent)
        else:
            self.context.routing.finished(now, agent, isinstance(result, Ended))
        if not isinstance(result, Ended | NotRun | Failed):
            open_bill.lost[attempt] = agent
        if not isinstance(result, Ended):
            logger().warning(
                "attempt_lost",
                request=execution.call.request,
                attempt=attempt,
                agent=agent,
                result=type(result).__name__,
                reason=getattr(result, "reason", "link lost"),
            )
        return result

    def _complete(
        self, execution: Execution, open_bill: OpenBill, agent: str, ended: Ended
    ) -> None:
        execution.complete(Usage(ended.prompt_tokens, ended.completion_tokens, ended.finish))
        self.context.metrics.count("answered")
        logger().info(
            "answered",
            request=execution.call.request,
            attempt=ended.attempt,
            customer=execution.call.customer.name,
            tokens=ended.record.tokens,
            sheet=self.context.rollout.version,
        )
        self.billing.bill(open_bill, agent, ended.record)

    # Non-idempotent requests ----------------------------------------------------------------

    async def _run_once(self, execution: Execution, open_bill: OpenBill) -> Refusal | None:
        call, attempt = execution.call, uuid.uuid4().hex
        agent = await self.agents.find(call, set())
        if agent is None:
            self.billing.conclude_unanswered(open_bill)
            return _no_capacity(call)
        claim = Claim(attempt, agent, call.fingerprint)
        claimed = await self.claims.insert(call.customer.name, call.key, claim)
        if isinstance(claimed, ClaimHeld) and await self._never_started(call, claimed.claim):
            claimed = await self.claims.insert(call.customer.name, call.key, claim)
        if isinstance(claimed, ClaimAcquired):
            return await self._run_claimed(execution, open_bill, agent, attempt)
        self.context.routing.released(agent)
        self.billing.conclude_unanswered(open_bill)
        if isinstance(claimed, ClaimHeld):
            return _replay(execution, claimed.claim)
        self.billing.release_claim(call, attempt)
        reason = f"the call could not be recorded first: {claimed.error.detail}"
        return Refusal(RefusalCode.STORE_UNAVAILABLE, reason, retry_after=RETRY_SOON)

    async def _never_started(self, call: Call, claim: Claim) -> bool:
        """Release another attempt's claim if its agent proves that it never started."""
        if claim.state != ClaimState.CLAIMED or claim.fingerprint != call.fingerprint:
            return False
        result = await self.billing.inquire(claim.agent, claim.attempt)
        if not isinstance(result, NotRun):
            return False
        try:
            async with asyncio.timeout(self.context.settings.platform_timeout):
                await self.claims.release(call.customer.name, call.key, claim.attempt)
        except TimeoutError:
            return False
        return True

    async def _run_claimed(
        self, execution: Execution, open_bill: OpenBill, agent: str | None, attempt: str
    ) -> Refusal | None:
        """Run the claimed attempt; only agents that certainly did not start it are passed over."""
        call, excluded = execution.call, set[str]()
        for _ in range(self.context.settings.attempts):
            if agent is None:
                break
            result = await self._attempt(execution, agent, attempt, open_bill)
            if isinstance(result, Ended):
                self._complete(execution, open_bill, agent, result)
                body = b"".join(execution.pieces)
                entry = journal_entry(result.record, execution.status, execution.content_type, body)
                self.context.spawn(self.claims.record_answer(entry))
                return None
            if not isinstance(result, NotRun):
                self.billing.conclude_unanswered(open_bill)
                reason = "the call was started and its outcome is not known yet"
                return Refusal(RefusalCode.OUTCOME_UNKNOWN, reason, Outcome.UNKNOWN, RETRY_SOON)
            excluded.add(agent)
            agent = await self.agents.find(call, excluded)
            if agent is not None and not await self._move_claim(call, attempt, agent):
                break
        self.billing.release_claim(call, attempt)
        self.billing.conclude_unanswered(open_bill)
        return _no_capacity(call)

    async def _move_claim(self, call: Call, attempt: str, agent: str) -> bool:
        moved = await self.claims.move(call.customer.name, call.key, attempt, agent)
        if not moved:
            self.context.routing.released(agent)
        return moved


def _quarantined(outcome: Outcome) -> Refusal:
    reason = "backend servers crashed twice while they ran this content; it is not run again"
    return Refusal(RefusalCode.QUARANTINED, reason, outcome)


def _no_capacity(call: Call) -> Refusal:
    reason = f"no backend server has room for {call.target}"
    return Refusal(RefusalCode.NO_CAPACITY, reason, retry_after=RETRY_SOON)


def _give_up(call: Call, result: AttemptResult | None, started: bool) -> Refusal:
    if not started:
        return _no_capacity(call)
    if isinstance(result, Damaged):
        return Refusal(
            RefusalCode.ANSWER_DAMAGED, result.reason, Outcome.UNKNOWN, retry_after=RETRY_SOON
        )
    reason = getattr(result, "reason", "the backend server was lost while it answered")
    return Refusal(RefusalCode.BACKEND_FAILED, reason, Outcome.UNKNOWN, retry_after=RETRY_SOON)


def _replay(execution: Execution, claim: Claim) -> Refusal | None:
    call = execution.call
    if claim.fingerprint != call.fingerprint:
        reason = f"idempotency key {call.key!r} was used for another call"
        return Refusal(RefusalCode.KEY_REUSED, reason)
    if claim.state == ClaimState.DONE:
        execution.begin(claim.status, claim.content_type)
        execution.add(recorded_answer(claim))
        execution.complete(Usage(0, 0, "stop"))
        return None
    reason = "an earlier call with this key was started and its outcome is not known yet"
    return Refusal(RefusalCode.IN_PROGRESS, reason, Outcome.UNKNOWN, RETRY_SOON)
