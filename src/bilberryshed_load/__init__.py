"""Load and experiment tool: starts fleets on one machine, drives them, judges the outcome."""

from bilberryshed_load._callers import Answer, CallerPool, ask
from bilberryshed_load._fleet import Fleet
from bilberryshed_load._plans import DEPLOYMENTS, FleetPlan, plan_fleet
from bilberryshed_load._tally import Tally

__all__ = [
    "DEPLOYMENTS",
    "Answer",
    "CallerPool",
    "Fleet",
    "FleetPlan",
    "Tally",
    "ask",
    "plan_fleet",
]
