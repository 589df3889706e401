"""Long-running programs: the decision logic connected to the transports and the platform."""

from bilberryshed.runtime._agent import serve_agent
from bilberryshed.runtime._backends import (
    EngineBackend,
    ResponseSink,
    RunCompleted,
    RunInterrupted,
    ServiceBackend,
)
from bilberryshed.runtime._context import QUARANTINE_POLICY, RouterContext
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._process import run_program
from bilberryshed.runtime._records_reader import RecordsReader
from bilberryshed.runtime._router import serve_router
from bilberryshed.runtime._sheet_store import AcceptedSheet, SheetStore

__all__ = [
    "AcceptedSheet",
    "EngineBackend",
    "FundingService",
    "QUARANTINE_POLICY",
    "RecordsReader",
    "ResponseSink",
    "RouterContext",
    "RunCompleted",
    "RunInterrupted",
    "ServiceBackend",
    "SheetStore",
    "run_program",
    "serve_agent",
    "serve_router",
]
