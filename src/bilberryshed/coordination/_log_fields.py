"""Parses the fields of a log line."""

import re

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def log_fields(line: str) -> dict[str, str]:
    """Return the key=value pairs of a log line; text before the first one is ignored."""
    return dict(_FIELD.findall(line))
