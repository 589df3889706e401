"""Placement of requests on backend servers that may differ in speed and free memory."""

from bilberryshed.coordination.placement._choice import place_plain, place_prompt, prefill_tokens
from bilberryshed.coordination.placement._estimate import ServerEstimate, update_paces
from bilberryshed.coordination.placement._memory import with_room

__all__ = [
    "ServerEstimate",
    "place_plain",
    "place_prompt",
    "prefill_tokens",
    "update_paces",
    "with_room",
]
