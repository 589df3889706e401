"""Runs the gateway program and reports each long turn of its event loop on standard error.

A turn is what the loop runs between two waits for events; its length is the processor time that the
process takes, so that a busy machine does not lengthen it. Each line has the monotonic time at the
end of the turn in seconds and its length in milliseconds.
"""

import asyncio
import sys
import time
from pathlib import Path

from bilberryshed.programs.gateway import run

REPORTED_MS = 3.0  # milliseconds; shorter turns are not reported


class MeasuredPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops that report their long turns."""

    def new_event_loop(self):
        """Return an event loop whose selector is measured."""
        loop = super().new_event_loop()
        measure(loop._selector)
        return loop


def measure(selector):
    """Report the processor time between the calls of a selector."""
    wait, began_at = selector.select, time.process_time()

    def select(timeout=None):
        nonlocal began_at
        length = (time.process_time() - began_at) * 1000
        if length > REPORTED_MS:
            print(f"{time.monotonic():.3f} {length:.1f}", file=sys.stderr, flush=True)
        events = wait(timeout)
        began_at = time.process_time()
        return events

    selector.select = select


if __name__ == "__main__":
    asyncio.set_event_loop_policy(MeasuredPolicy())
    run(Path(sys.argv[1]))
