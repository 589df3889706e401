"""Execution of requests: reservation, claim, attempts and billing."""

import asyncio
import math
import uuid
from collections import OrderedDict

from returns.result import Failure, Result, Success

from bilberryshed.coordination import Claim, ClaimAcquired, ClaimHeld, ClaimState, QuarantineState
from bilberryshed.protocol import (
    Completed,
    CrashedRun,
    Failed,
    NotRun,
    Outcome,
    Refusal,
    RefusalCode,
)
from bilberryshed.runtime._agent_queue import AgentQueue
from bilberryshed.runtime._attempts import AttemptResult, Attempts, Damaged
from bilberryshed.runtime._billing import Billing, OpenBill
from bilberryshed.runtime._claim_service import ClaimService, journal_entry, recorded_response
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Call, Execution, Usage
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._slo_monitor import SloMonitor
from bilberryshed.transport import logger

MAX_CACHED_RESPONSES = 2_000  # responses cached for retries with the same idempotency key
NOT_RUN_BACKOFF = 0.02  # seconds before the next agent is tried after one without capacity
RETRY_AFTER_SECONDS = 2


class Runner:
    """Executes all requests of one router."""

    def __init__(
        self,
        context: RouterContext,
        funding: FundingService,
        billing: Billing,
        claims: ClaimService,
        slo: SloMonitor,
        agent_queue: AgentQueue,
    ) -> None:
        self.context = context
        self.funding = funding
        self.billing = billing
        self.claims = claims
        self.slo = slo
        self.quarantine = context.quarantine
        self.agent_queue = agent_queue
        self.attempts = Attempts(context)
        self.running: dict[str, Execution] = {}
        self.cached_executions: OrderedDict[str, Execution] = OrderedDict()

    def start_or_join(self, call: Call) -> Result[Execution, Refusal]:
        """Start a request, or subscribe to the execution that has the same bill id."""
        existing = self.running.get(call.bill_id) or self.cached_executions.get(call.bill_id)
        if existing is not None and existing.call.fingerprint != call.fingerprint:
            reason = f"idempotency key {call.key!r} was used for another request"
            return Failure(Refusal(RefusalCode.KEY_REUSED, reason))
        if existing is None:
            existing = Execution(call, self.context.timers.now())
            self.running[call.bill_id] = existing
            self.context.spawn(self._execute(existing))
        else:
            self.context.metrics.count("joined")
        existing.subscribers += 1
        return Success(existing)

    async def _execute(self, execution: Execution) -> None:
        call = execution.call
        try:
            refusal = await self._process(execution)
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
        self.slo.record_request(execution, refusal)
        del self.running[call.bill_id]
        if refusal is None and call.has_client_key:
            self._cache_response(execution)

    def _cache_response(self, execution: Execution) -> None:
        self.cached_executions[execution.call.bill_id] = execution
        while len(self.cached_executions) > MAX_CACHED_RESPONSES:
            self.cached_executions.popitem(last=False)

    async def _process(self, execution: Execution) -> Refusal | None:
        call = execution.call
        admittance = self.quarantine.admit(call.content, call.parts)
        if admittance.wait > 0:
            return _quarantined(Outcome.NOT_RUN, admittance.wait)
        refusal = await self._reserve_and_run(execution, admittance.is_probe)
        if admittance.is_probe and refusal and refusal.outcome is Outcome.NOT_RUN:
            self.quarantine.end_unused_probe(call.content, call.parts)
        return refusal

    async def _reserve_and_run(self, execution: Execution, is_probe: bool) -> Refusal | None:
        call = execution.call
        open_bill = self.billing.open_bills.pop(call.bill_id, None)
        if open_bill is None:
            reserved = await self.funding.reserve(
                call.budget, call.token_bound, self.context.settings.funding_wait
            )
            if isinstance(reserved, Failure):
                return reserved.failure()
            open_bill = OpenBill(call, reserved.unwrap())
        if call.service.idempotent:
            return await self._run_idempotent(execution, open_bill, is_probe)
        return await self._run_non_idempotent(execution, open_bill)

    # Idempotent requests --------------------------------------------------------------------

    async def _run_idempotent(
        self, execution: Execution, open_bill: OpenBill, is_probe: bool
    ) -> Refusal | None:
        call = execution.call
        excluded: set[str] = set()
        result: AttemptResult | None = None
        started = bool(open_bill.lost_attempts)
        attempts_left = self.context.settings.attempts
        timers = self.context.timers
        retry_deadline = timers.responsive_time() + self.context.settings.queue_wait
        while attempts_left > 0:
            wait = self.quarantine.seconds_blocked(call.content, call.parts)
            is_unused_probe = is_probe and (result is None or isinstance(result, NotRun))
            if wait > 0 and not is_unused_probe:
                self.billing.release_or_park(open_bill)
                return _quarantined(Outcome.UNKNOWN if started else Outcome.NOT_RUN, wait)
            agent = await self.agent_queue.acquire(call, excluded)
            if agent is None:
                break
            attempt = uuid.uuid4().hex
            result = await self._attempt(execution, agent, attempt, open_bill, is_probe)
            if isinstance(result, Completed):
                self._complete(execution, open_bill, agent, result)
                return None
            self.context.metrics.count("retries")
            if isinstance(result, NotRun):
                if timers.responsive_time() >= retry_deadline:
                    break
                await asyncio.sleep(NOT_RUN_BACKOFF)
                continue
            started = True
            attempts_left -= 1
            excluded.add(agent)
        self.billing.release_or_park(open_bill)
        return _failure_refusal(call, result, started)

    async def _attempt(
        self,
        execution: Execution,
        agent: str,
        attempt: str,
        open_bill: OpenBill,
        is_probe: bool = False,
    ) -> AttemptResult:
        content, parts = execution.call.content, execution.call.parts
        alone = is_probe or self.quarantine.standing(content) is QuarantineState.SUSPECT
        sent_at = self.context.timers.now()
        result = await self.attempts.run(execution, agent, attempt, open_bill.reservation, alone)
        now = self.context.timers.now()
        if isinstance(result, Failed) and result.crashed and execution.call.model:
            incarnation = f"{agent}/{result.backend_boot}"
            self.quarantine.on_crash(CrashedRun(attempt, incarnation, content, parts, alone, 0.0))
        elif isinstance(result, Completed):
            self.quarantine.on_answer(sent_at, content, parts)
        if isinstance(result, NotRun):
            self.context.routing.released(agent)
            self.context.routing.limited(now, agent, result.wait)
        else:
            self.context.routing.finished(now, agent, isinstance(result, Completed))
        if not isinstance(result, Completed | NotRun | Failed):
            open_bill.lost_attempts[attempt] = agent
        if not isinstance(result, Completed):
            logger().warning(
                "attempt_lost",
                request=execution.call.request,
                attempt=attempt,
                agent=agent,
                result=type(result).__name__,
                reason=getattr(result, "reason", "link lost or attempt timed out"),
            )
        return result

    def _complete(
        self, execution: Execution, open_bill: OpenBill, agent: str, completed: Completed
    ) -> None:
        execution.complete(
            Usage(completed.prompt_tokens, completed.completion_tokens, completed.finish)
        )
        self.context.metrics.count("answered")
        logger().info(
            "answered",
            request=execution.call.request,
            attempt=completed.attempt,
            customer=execution.call.customer.name,
            tokens=completed.record.tokens,
            sheet=self.context.rollout.version,
        )
        self.billing.bill(open_bill, agent, completed.record)

    # Non-idempotent requests ----------------------------------------------------------------

    async def _run_non_idempotent(
        self, execution: Execution, open_bill: OpenBill
    ) -> Refusal | None:
        call, attempt = execution.call, uuid.uuid4().hex
        agent = await self.agent_queue.acquire(call, set())
        if agent is None:
            self.billing.release_or_park(open_bill)
            return _no_capacity(call)
        claim = Claim(attempt, agent, call.fingerprint)
        claimed = await self.claims.insert(call.customer.name, call.key, claim)
        if isinstance(claimed, ClaimHeld) and await self._release_unstarted_claim(
            call, claimed.claim
        ):
            claimed = await self.claims.insert(call.customer.name, call.key, claim)
        if isinstance(claimed, ClaimAcquired):
            return await self._run_claimed(execution, open_bill, agent, attempt)
        self.context.routing.released(agent)
        self.billing.release_or_park(open_bill)
        if isinstance(claimed, ClaimHeld):
            return _replay(execution, claimed.claim)
        self.billing.release_claim(call, attempt)
        reason = f"the call could not be recorded first: {claimed.error.detail}"
        return Refusal(RefusalCode.STORE_UNAVAILABLE, reason, retry_after=RETRY_AFTER_SECONDS)

    async def _release_unstarted_claim(self, call: Call, claim: Claim) -> bool:
        """Release another attempt's claim if its agent confirms that it cannot start any more.

        :returns: whether the claim was released
        """
        if claim.state != ClaimState.CLAIMED or claim.fingerprint != call.fingerprint:
            return False
        result = await self.billing.query_attempt(claim.agent, claim.attempt)
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
        """Run the claimed attempt, on another agent only if it was certainly not started."""
        call, excluded = execution.call, set[str]()
        for _ in range(self.context.settings.attempts):
            if agent is None:
                break
            result = await self._attempt(execution, agent, attempt, open_bill)
            if isinstance(result, Completed):
                self._complete(execution, open_bill, agent, result)
                body = b"".join(execution.chunks)
                entry = journal_entry(result.record, execution.status, execution.content_type, body)
                self.context.spawn(self.claims.record_response(entry))
                return None
            if not isinstance(result, NotRun):
                self.billing.release_or_park(open_bill)
                reason = "the call was started and its outcome is not known yet"
                return Refusal(
                    RefusalCode.OUTCOME_UNKNOWN, reason, Outcome.UNKNOWN, RETRY_AFTER_SECONDS
                )
            excluded.add(agent)
            agent = await self.agent_queue.acquire(call, excluded)
            if agent is not None and not await self._reassign_claim(call, attempt, agent):
                break
        self.billing.release_claim(call, attempt)
        self.billing.release_or_park(open_bill)
        return _no_capacity(call)

    async def _reassign_claim(self, call: Call, attempt: str, agent: str) -> bool:
        reassigned = await self.claims.reassign(call.customer.name, call.key, attempt, agent)
        if not reassigned:
            self.context.routing.released(agent)
        return reassigned


def _quarantined(outcome: Outcome, wait: float) -> Refusal:
    """Return the refusal of a request that is blocked for ``wait`` seconds."""
    reason = "backend servers crash while they run this content or a message of it"
    return Refusal(RefusalCode.QUARANTINED, reason, outcome, math.ceil(wait))


def _no_capacity(call: Call) -> Refusal:
    reason = f"no backend server has room for {call.target}"
    return Refusal(RefusalCode.NO_CAPACITY, reason, retry_after=RETRY_AFTER_SECONDS)


def _failure_refusal(call: Call, result: AttemptResult | None, started: bool) -> Refusal:
    if not started:
        return _no_capacity(call)
    if isinstance(result, Damaged):
        return Refusal(
            RefusalCode.ANSWER_DAMAGED,
            result.reason,
            Outcome.UNKNOWN,
            retry_after=RETRY_AFTER_SECONDS,
        )
    reason = getattr(result, "reason", "the backend server was lost while it answered")
    return Refusal(
        RefusalCode.BACKEND_FAILED, reason, Outcome.UNKNOWN, retry_after=RETRY_AFTER_SECONDS
    )


def _replay(execution: Execution, claim: Claim) -> Refusal | None:
    """Complete an execution with the response recorded on a claim, or return a refusal."""
    call = execution.call
    if claim.fingerprint != call.fingerprint:
        reason = f"idempotency key {call.key!r} was used for another call"
        return Refusal(RefusalCode.KEY_REUSED, reason)
    if claim.state == ClaimState.DONE:
        execution.start_response(claim.status, claim.content_type)
        execution.add(recorded_response(claim))
        execution.complete(Usage(0, 0, "stop"))
        return None
    reason = "an earlier call with this key was started and its outcome is not known yet"
    return Refusal(RefusalCode.IN_PROGRESS, reason, Outcome.UNKNOWN, RETRY_AFTER_SECONDS)
