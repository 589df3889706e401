"""Adapter to the users' platform: translates its messages into the product's types.

No other package refers to a header, path, field or term of the platform.
"""

from bilberryshed.platform._ports import gateway_ports

__all__ = ["gateway_ports"]
