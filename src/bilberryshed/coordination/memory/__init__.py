"""Account of the memory that a gateway holds for its callers."""

from bilberryshed.coordination.memory._held_bytes import HeldBytes, HeldKind, Holding

__all__ = ["HeldBytes", "HeldKind", "Holding"]
