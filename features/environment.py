"""Setup shared by all features."""

import asyncio
import logging
import sys
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))


def before_all(context):
    """Keep request logs of in-process servers out of the test output."""
    context.config.setup_logging()
    for name in ("tornado.access", "websockets"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Create a separate event loop for each scenario."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)


def after_step(context, step):
    """Print the traceback of an unexpected exception, which the JSON report lacks."""
    if step.exception is not None and not isinstance(step.exception, AssertionError):
        print(f"\n{step.location} {step.name!r}:", file=sys.__stderr__)
        traceback.print_exception(step.exception, file=sys.__stderr__)


def after_scenario(context, scenario):
    """Stop the fleet of the scenario, unless the scenarios of its feature share it."""
    fleet = getattr(context, "fleet", None)
    if fleet is not None and not getattr(context, "fleet_is_shared", False):
        fleet.close()


def after_feature(context, feature):
    """Stop the fleet that the scenarios of a feature shared."""
    fleet = getattr(feature, "fleet", None)
    if fleet is not None:
        fleet.close()
