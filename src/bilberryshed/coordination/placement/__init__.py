"""Placement of requests on backend servers that may differ in speed and free memory."""

from bilberryshed.coordination.placement._choice import place_plain, place_prompt, prefill_tokens

__all__ = ["place_plain", "place_prompt", "prefill_tokens"]
