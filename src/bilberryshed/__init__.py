"""A router fleet for prepaid token budgets."""

import time

__version__ = "0.1.0"

# Monotonic time in seconds at which this process was running; its predecessor had ended by then.
PROCESS_STARTED_AT = time.monotonic()
