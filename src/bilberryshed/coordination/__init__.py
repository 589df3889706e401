"""Decisions of the fleet: no I/O, no clock, no randomness.

Time and messages come in as arguments; typed actions go out.
"""

from bilberryshed.coordination._agent_runs import Closing, Refused, Runs
from bilberryshed.coordination._answers import AnswerCheck, AnswerDamagedError
from bilberryshed.coordination._audit import Audit, BudgetLine, audit
from bilberryshed.coordination._backend_pool import OUTPUT_WEIGHT, BackendPool, is_news
from bilberryshed.coordination._backend_registry import BackendRegistry
from bilberryshed.coordination._backend_view import BackendView
from bilberryshed.coordination._backend_view import Demand as BackendDemand
from bilberryshed.coordination._backend_view import Run as BackendRun
from bilberryshed.coordination._claims import (
    Claim,
    ClaimInsert,
    ClaimState,
    Existing,
    Mine,
    ReadClaim,
    Unclaimed,
    Unconfirmed,
    WriteClaim,
    claim_ref,
)
from bilberryshed.coordination._crash_record import CrashRecord
from bilberryshed.coordination._event_stream import EventCutter
from bilberryshed.coordination._fair_queue import FairQueue, Ticket
from bilberryshed.coordination._funding import (
    AskPeer,
    Funded,
    Funding,
    TakeFromStore,
    Unfunded,
    Verdict,
)
from bilberryshed.coordination._grant_book import Grant, GrantBook
from bilberryshed.coordination._grant_store import (
    MAX_CHANGES,
    Adopt,
    Close,
    Done,
    GrantBatch,
    Take,
    demand_for,
)
from bilberryshed.coordination._lease import Lease, LeaseRow
from bilberryshed.coordination._ledger import GetSegment, PutSegment, Segment, ShardWriter
from bilberryshed.coordination._membership import ListChange, Member, Members
from bilberryshed.coordination._orders import (
    Admission,
    EngineView,
    OrderGate,
    OrderKind,
    PlannedOrder,
    plan_orders,
)
from bilberryshed.coordination._pool_changes import apply_changes, coordinator
from bilberryshed.coordination._prefixes import prompt_prefixes
from bilberryshed.coordination._prepaid import Account, PeerHolding, PoolRow, PrepaidBook
from bilberryshed.coordination._quarantine import Quarantine, Standing, Suspicion
from bilberryshed.coordination._reclaim import (
    GrantToClose,
    Present,
    Reclaim,
    boot_of_grant,
    vm_of_boot,
)
from bilberryshed.coordination._rendezvous import owner, shard_of
from bilberryshed.coordination._retry_allowance import RetryAllowance
from bilberryshed.coordination._rollout import Rollout, SheetInForce
from bilberryshed.coordination._route_index import RouteIndex
from bilberryshed.coordination._routing import AgentView, Choice, Routing, policies, policy
from bilberryshed.coordination._row_actions import ReadRows, WriteRows
from bilberryshed.coordination._sizing import Demand, GrantSizing
from bilberryshed.coordination._slo import SloTally, TallyLine, burn_rates
from bilberryshed.coordination._spending_schedule import Bound, BoundsRecord, SpendingSchedule
from bilberryshed.coordination._story import Story, StoryLine, request_story
from bilberryshed.coordination._submission import (
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Undecided,
)

__all__ = [
    "MAX_CHANGES",
    "OUTPUT_WEIGHT",
    "Accepted",
    "Account",
    "Admission",
    "Adopt",
    "AgentView",
    "AnswerCheck",
    "AnswerDamagedError",
    "AskPeer",
    "Audit",
    "BackendDemand",
    "BackendPool",
    "BackendRegistry",
    "BackendRun",
    "BackendView",
    "Bound",
    "BoundsRecord",
    "BudgetLine",
    "Choice",
    "Claim",
    "ClaimInsert",
    "ClaimState",
    "Close",
    "Closing",
    "Conflict",
    "CrashRecord",
    "Demand",
    "Done",
    "Unconfirmed",
    "EngineView",
    "EventCutter",
    "Existing",
    "FairQueue",
    "Funded",
    "Funding",
    "GetSegment",
    "Grant",
    "GrantBatch",
    "GrantBook",
    "GrantSizing",
    "GrantToClose",
    "Lease",
    "LeaseRow",
    "ListChange",
    "Member",
    "Members",
    "Mine",
    "OrderGate",
    "OrderKind",
    "PeerHolding",
    "PlannedOrder",
    "PoolRow",
    "PrepaidBook",
    "Present",
    "PutSegment",
    "Quarantine",
    "ReadClaim",
    "ReadRows",
    "Reclaim",
    "Refused",
    "Rejected",
    "RetryAllowance",
    "Rollout",
    "RouteIndex",
    "Routing",
    "Runs",
    "Segment",
    "ShardWriter",
    "SheetInForce",
    "SloTally",
    "SpendingSchedule",
    "Standing",
    "Story",
    "StoryLine",
    "Submission",
    "Suspicion",
    "Take",
    "TakeFromStore",
    "TallyLine",
    "Ticket",
    "Unclaimed",
    "Undecided",
    "Unfunded",
    "Verdict",
    "WriteClaim",
    "WriteRows",
    "apply_changes",
    "audit",
    "boot_of_grant",
    "burn_rates",
    "claim_ref",
    "coordinator",
    "demand_for",
    "is_news",
    "owner",
    "plan_orders",
    "policies",
    "policy",
    "prompt_prefixes",
    "request_story",
    "shard_of",
    "vm_of_boot",
]
