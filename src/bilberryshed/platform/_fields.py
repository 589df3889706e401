"""Checked access to the fields of decoded JSON."""

from typing import Any

MAX_NAME = 200  # characters of a name


class FieldError(ValueError):
    """A field is missing or invalid; the message contains its location."""


def json_object(value: Any, location: str) -> dict[str, Any]:
    """Return a value that must be a JSON object."""
    if not isinstance(value, dict):
        raise FieldError(f"{location} is {value!r}, not an object")
    return value


def json_array(value: Any, location: str) -> list[Any]:
    """Return a value that must be a JSON array."""
    if not isinstance(value, list):
        raise FieldError(f"{location} is {value!r}, not an array")
    return value


def string(source: dict[str, Any], name: str, location: str) -> str:
    """Return a field that must be a non-empty string."""
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{location}.{name} is {value!r}, not a non-empty string")
    return value


def check_name(value: Any, location: str) -> str:
    """Return a value that must be a short printable text, as it is logged, stored and sent."""
    if not isinstance(value, str) or not value.isprintable() or len(value) > MAX_NAME:
        found = ascii(value)[:MAX_NAME]
        raise FieldError(f"{location} is {found}, not a printable text of {MAX_NAME} characters")
    return value


def name(source: dict[str, Any], field: str, location: str) -> str:
    """Return a field that must be a short printable text, and not empty."""
    return check_name(string(source, field, location), f"{location}.{field}")


def number(source: dict[str, Any], name: str, location: str, default: float | None = None) -> float:
    """Return a field that must be a non-negative number."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e18:
        raise FieldError(f"{location}.{name} is {value!r}, not a non-negative number")
    return value


def integer(source: dict[str, Any], name: str, location: str, default: int | None = None) -> int:
    """Return a field that must be a non-negative integer."""
    value = number(source, name, location, default)
    if not isinstance(value, int):
        raise FieldError(f"{location}.{name} is {value!r}, not an integer")
    return value


def boolean(source: dict[str, Any], name: str, location: str, default: bool = False) -> bool:
    """Return a field that must be a boolean."""
    value = source.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{location}.{name} is {value!r}, neither true nor false")
    return value
