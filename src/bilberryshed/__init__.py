"""A router fleet for prepaid token budgets."""

import time

__version__ = "0.1.0"

# Monotonic time in seconds, read after this process had started; its predecessor had ended by then.
PROCESS_STARTED_AT = time.monotonic()
