"""Parses the fields of a log line."""

import re

_ESCAPE = re.compile(r"\\(.)")
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def log_fields(line: str) -> dict[str, str]:
    """Return the key=value pairs of a log line; text before the first one is ignored."""
    return dict(_FIELD.findall(line))


def unescaped(value: str) -> str:
    """Return the text of a field as it was logged, without its quotes and escapes."""
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(lambda found: "\n" if found[1] == "n" else found[1], value[1:-1])
