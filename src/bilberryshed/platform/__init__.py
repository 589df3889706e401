"""Adapter to the users' platform: translates its messages into the product's types.

Nothing outside this package knows a header, path, field or word of the platform.
"""

from bilberryshed.platform._ports import gateway_ports

__all__ = ["gateway_ports"]
