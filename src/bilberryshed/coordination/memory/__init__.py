"""Accounts of the memory that a gateway holds for its callers, and for answers to them."""

from bilberryshed.coordination.memory._answer_bytes import AnswerBytes
from bilberryshed.coordination.memory._held_bytes import HeldBytes, HeldKind, Holding

__all__ = ["AnswerBytes", "HeldBytes", "HeldKind", "Holding"]
