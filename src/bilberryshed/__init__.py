"""A router fleet for prepaid token budgets."""

import time

__version__ = "0.1.0"

# Monotonic time, in seconds, at which this process had begun: its predecessor was dead by then.
PROCESS_STARTED_AT = time.monotonic()
