"""The long-running programs: decisions wired to transports."""

from bilberryshed.runtime._agent import serve_agent
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._funding_desk import FundingDesk
from bilberryshed.runtime._process import run_program
from bilberryshed.runtime._records_office import RecordsOffice
from bilberryshed.runtime._router import serve_router
from bilberryshed.runtime._sheet_office import AcceptedSheet, SheetOffice

__all__ = [
    "AcceptedSheet",
    "FundingDesk",
    "RecordsOffice",
    "RouterContext",
    "SheetOffice",
    "run_program",
    "serve_agent",
    "serve_router",
]
