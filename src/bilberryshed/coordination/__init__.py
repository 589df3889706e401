"""Deterministic state machines and policies of the fleet, without I/O, clocks or randomness.

Callers pass in time, messages and random numbers, and carry out the returned typed actions.
"""

from bilberryshed.coordination._agent_runs import AgentAttempts, RefusedDispatch, TerminalState
from bilberryshed.coordination._audit import Audit, BudgetLine, audit
from bilberryshed.coordination._backend_pool import OUTPUT_WEIGHT, BackendPool, is_report_urgent
from bilberryshed.coordination._backend_registry import BackendRegistry
from bilberryshed.coordination._backend_view import BackendDemand, BackendView, InFlightRequest
from bilberryshed.coordination._claims import (
    Claim,
    ClaimAcquired,
    ClaimFailed,
    ClaimHeld,
    ClaimInsert,
    ClaimState,
    ClaimUnconfirmed,
    ReadClaim,
    WriteClaim,
    claim_ref,
)
from bilberryshed.coordination._departures import Departures
from bilberryshed.coordination._event_stream import EventBuffer, EventSplitter
from bilberryshed.coordination._fair_queue import FairQueue, QueueEntry
from bilberryshed.coordination._funding import (
    AcquireFromStore,
    Funded,
    Funding,
    FundingFailure,
    RequestFromPeer,
    Unfunded,
)
from bilberryshed.coordination._grant_book import Grant, GrantBook
from bilberryshed.coordination._grant_store import (
    MAX_CHANGES,
    AcquireGrant,
    BatchDone,
    CloseGrant,
    GrantBatch,
    PersistTransfer,
    demand_for,
)
from bilberryshed.coordination._hubs import Hubs
from bilberryshed.coordination._lease import Lease, LeaseRow
from bilberryshed.coordination._ledger import GetSegment, PutSegment, Segment, ShardWriter
from bilberryshed.coordination._load_relay import LoadRelay
from bilberryshed.coordination._loop_lag import LATE_GAP, TICK_INTERVAL, LoopLag
from bilberryshed.coordination._membership import ListChange, Member, Members
from bilberryshed.coordination._named_limits import NamedLimits, parse_limit
from bilberryshed.coordination._orders import (
    Admission,
    EngineView,
    OrderFence,
    OrderKind,
    PlannedOrder,
    plan_orders,
)
from bilberryshed.coordination._origin_proofs import OriginEvidence, prove_origin
from bilberryshed.coordination._permits import (
    PERMIT_TIME,
    Permit,
    PermitDecision,
    PermitIssuer,
    limit_coordinator,
)
from bilberryshed.coordination._pool_changes import apply_changes, coordinator
from bilberryshed.coordination._pool_restore import (
    CONFIRM_TIME,
    PoolReading,
    RouterRecovery,
    can_be_closed,
    confirm_grant,
    end_confirmation,
    incarnation_vm,
)
from bilberryshed.coordination._prefixes import prompt_prefixes
from bilberryshed.coordination._prepaid import (
    Account,
    PeerHolding,
    PoolRow,
    PrepaidBook,
    Shortage,
    transfer_id,
    transfer_number,
)
from bilberryshed.coordination._quarantine import Quarantine
from bilberryshed.coordination._quarantine_blocks import (
    Block,
    QuarantinePolicy,
    QuarantineState,
    Suspect,
    probe_delay,
)
from bilberryshed.coordination._reclaim import (
    GONE_CONFIRM_TIME,
    GrantToClose,
    MembershipSnapshot,
    Reclaim,
    boot_of_grant,
    vm_of_boot,
)
from bilberryshed.coordination._rendezvous import owner, rank, shard_of
from bilberryshed.coordination._request_trace import RequestTrace, TraceLine, trace_request
from bilberryshed.coordination._response_check import ResponseDamagedError, ResponseVerifier
from bilberryshed.coordination._retry_budget import RetryBudget
from bilberryshed.coordination._rollout import ActiveSheet, Rollout
from bilberryshed.coordination._route_history import RouteHistory, split_point
from bilberryshed.coordination._route_index import RouteIndex
from bilberryshed.coordination._routing import AgentView, PolicyInputs, Routing, policies, policy
from bilberryshed.coordination._row_actions import ReadRows, WriteRows
from bilberryshed.coordination._self_reports import SelfReports, parse_seconds
from bilberryshed.coordination._served_versions import ServedVersions, VersionSpan
from bilberryshed.coordination._server_limiter import ServerLimiter
from bilberryshed.coordination._sizing import Demand, GrantSizing
from bilberryshed.coordination._slo import SloTally, TallyLine, burn_rates
from bilberryshed.coordination._spending_bounds import Bound, BoundsRecord, SpendingBounds
from bilberryshed.coordination._stream_origins import (
    ORIGIN_TIME,
    Origin,
    StreamOrigins,
    stream_key,
)
from bilberryshed.coordination._submission import (
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Undecided,
)
from bilberryshed.coordination._token_trace import TokenReport, TokenTrace, trace_tokens

__all__ = [
    "LATE_GAP",
    "TICK_INTERVAL",
    "LoopLag",
    "PERMIT_TIME",
    "Departures",
    "ORIGIN_TIME",
    "Origin",
    "OriginEvidence",
    "prove_origin",
    "ServedVersions",
    "StreamOrigins",
    "VersionSpan",
    "stream_key",
    "CONFIRM_TIME",
    "PoolReading",
    "RouterRecovery",
    "can_be_closed",
    "confirm_grant",
    "end_confirmation",
    "incarnation_vm",
    "Accepted",
    "Account",
    "AcquireFromStore",
    "AcquireGrant",
    "ActiveSheet",
    "Admission",
    "AgentAttempts",
    "AgentView",
    "Audit",
    "BackendDemand",
    "BackendPool",
    "BackendRegistry",
    "BackendView",
    "BatchDone",
    "Block",
    "Bound",
    "BoundsRecord",
    "BudgetLine",
    "Claim",
    "ClaimAcquired",
    "ClaimFailed",
    "ClaimHeld",
    "ClaimInsert",
    "ClaimState",
    "ClaimUnconfirmed",
    "CloseGrant",
    "Conflict",
    "Demand",
    "EngineView",
    "EventBuffer",
    "EventSplitter",
    "FairQueue",
    "Funded",
    "Funding",
    "FundingFailure",
    "GONE_CONFIRM_TIME",
    "GetSegment",
    "Grant",
    "GrantBatch",
    "GrantBook",
    "GrantSizing",
    "GrantToClose",
    "Hubs",
    "InFlightRequest",
    "Lease",
    "LeaseRow",
    "ListChange",
    "LoadRelay",
    "MAX_CHANGES",
    "Member",
    "Members",
    "MembershipSnapshot",
    "NamedLimits",
    "OUTPUT_WEIGHT",
    "OrderFence",
    "OrderKind",
    "PeerHolding",
    "Permit",
    "PermitDecision",
    "PermitIssuer",
    "ServerLimiter",
    "PersistTransfer",
    "PlannedOrder",
    "PolicyInputs",
    "PoolRow",
    "PrepaidBook",
    "PutSegment",
    "Quarantine",
    "QuarantinePolicy",
    "QuarantineState",
    "QueueEntry",
    "ReadClaim",
    "ReadRows",
    "Reclaim",
    "RefusedDispatch",
    "Rejected",
    "RequestFromPeer",
    "RequestTrace",
    "ResponseDamagedError",
    "ResponseVerifier",
    "RetryBudget",
    "Rollout",
    "RouteHistory",
    "SelfReports",
    "parse_seconds",
    "RouteIndex",
    "split_point",
    "Routing",
    "Segment",
    "ShardWriter",
    "Shortage",
    "SloTally",
    "SpendingBounds",
    "Submission",
    "Suspect",
    "TallyLine",
    "TerminalState",
    "TokenReport",
    "TokenTrace",
    "TraceLine",
    "Undecided",
    "Unfunded",
    "WriteClaim",
    "WriteRows",
    "apply_changes",
    "audit",
    "boot_of_grant",
    "burn_rates",
    "claim_ref",
    "coordinator",
    "demand_for",
    "is_report_urgent",
    "limit_coordinator",
    "parse_limit",
    "owner",
    "plan_orders",
    "policies",
    "policy",
    "probe_delay",
    "prompt_prefixes",
    "rank",
    "shard_of",
    "trace_request",
    "trace_tokens",
    "transfer_id",
    "transfer_number",
    "vm_of_boot",
]
