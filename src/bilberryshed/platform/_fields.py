"""Checked access to the fields of decoded JSON."""

from typing import Any


class FieldError(ValueError):
    """A field is missing or is not what it should be; names its place."""


def json_object(value: Any, location: str) -> dict[str, Any]:
    """Return a value that must be an object."""
    if not isinstance(value, dict):
        raise FieldError(f"{location} is {value!r}, not an object")
    return value


def json_array(value: Any, location: str) -> list[Any]:
    """Return a value that must be a list."""
    if not isinstance(value, list):
        raise FieldError(f"{location} is {value!r}, not a list")
    return value


def string(source: dict[str, Any], name: str, location: str) -> str:
    """Return a field that must be a text that is not empty."""
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{location}.{name} is {value!r}, not a text")
    return value


def number(source: dict[str, Any], name: str, location: str, default: float | None = None) -> float:
    """Return a field that must be a number that is not negative."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e18:
        raise FieldError(f"{location}.{name} is {value!r}, not a number")
    return value


def integer(source: dict[str, Any], name: str, location: str, default: int | None = None) -> int:
    """Return a field that must be a whole number that is not negative."""
    value = number(source, name, location, default)
    if not isinstance(value, int):
        raise FieldError(f"{location}.{name} is {value!r}, not a whole number")
    return value


def boolean(source: dict[str, Any], name: str, location: str, default: bool = False) -> bool:
    """Return a field that must be true or false."""
    value = source.get(name, default)
    if not isinstance(value, bool):
        raise FieldError(f"{location}.{name} is {value!r}, neither true nor false")
    return value
