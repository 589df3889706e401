"""Load and experiment tool: starts fleets on one machine, drives them, judges the outcome."""

from bilberryshed_load._callers import Answer, CallerPool, Question, ask
from bilberryshed_load._fleet import Fleet
from bilberryshed_load._plans import DEPLOYMENTS, FleetPlan, free_port, plan_fleet
from bilberryshed_load._tally import Tally
from bilberryshed_load._workloads import Mix, questions

__all__ = [
    "DEPLOYMENTS",
    "Answer",
    "CallerPool",
    "Fleet",
    "FleetPlan",
    "Mix",
    "Question",
    "Tally",
    "ask",
    "free_port",
    "plan_fleet",
    "questions",
]
