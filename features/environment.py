"""Set-up shared by all features."""

import asyncio
import logging
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))


def before_all(context):
    """Keep request logs of in-process servers out of the test output."""
    context.config.setup_logging()
    for name in ("tornado.access", "websockets"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario an event loop of its own."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)


def after_scenario(context, scenario):
    """End what the scenario started."""
    fleet = getattr(context, "fleet", None)
    if fleet is not None and not getattr(context, "fleet_is_shared", False):
        fleet.close()


def after_feature(context, feature):
    """End a fleet that the scenarios of a feature shared."""
    fleet = getattr(feature, "fleet", None)
    if fleet is not None:
        fleet.close()
