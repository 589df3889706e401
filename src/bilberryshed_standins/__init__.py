"""Stand-ins for the external systems of the fleet: platform, model engines, plain services.

They are for development and tests only. Each can inject the faults that the real system has.
"""

from bilberryshed_standins._engine_core import EngineCore, EngineLimits, full_text
from bilberryshed_standins._faults import FaultInjector
from bilberryshed_standins._memory import MemoryObjects, MemoryTables
from bilberryshed_standins._platform import LaggingVmList, PlatformStandin, WeightStore
from bilberryshed_standins._routed_backend import EVENTS, ReceivedRequest, RoutedBackend, reset
from bilberryshed_standins._row_store import RowStore, RowStoreCopy, serve_row_store

__all__ = [
    "EVENTS",
    "EngineCore",
    "EngineLimits",
    "FaultInjector",
    "LaggingVmList",
    "MemoryObjects",
    "MemoryTables",
    "PlatformStandin",
    "ReceivedRequest",
    "RoutedBackend",
    "RowStore",
    "RowStoreCopy",
    "WeightStore",
    "full_text",
    "reset",
    "serve_row_store",
]
