"""Load and experiment tool: runs fleets on one machine under load and checks the results."""

from bilberryshed_load._callers import AttemptResult, CallerPool, LoadRequest, send_request
from bilberryshed_load._fleet import Fleet
from bilberryshed_load._plans import DEPLOYMENTS, FleetPlan, free_port, plan_fleet
from bilberryshed_load._tally import Tally
from bilberryshed_load._workloads import RequestMix, generate_requests

__all__ = [
    "DEPLOYMENTS",
    "AttemptResult",
    "CallerPool",
    "Fleet",
    "FleetPlan",
    "LoadRequest",
    "RequestMix",
    "Tally",
    "free_port",
    "generate_requests",
    "plan_fleet",
    "send_request",
]
