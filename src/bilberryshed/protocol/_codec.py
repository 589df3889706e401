"""CBOR encoding of typed messages.

A message class is registered with :func:`register_message`; the registry is the only mapping from
wire tags to classes, so that a new message needs no change here.
"""

import dataclasses
import types
import typing
from collections.abc import Callable
from typing import Any

import cbor2

_SCALARS = frozenset({int, str, bytes, bool, float})
_UNPACKED = _SCALARS | {type(None)}  # types that are encoded as they are
MESSAGE_TAG = 40_600  # unassigned CBOR tag that wraps every registered message

_classes_by_tag: dict[int, type] = {}
_tags_by_class: dict[type, int] = {}
_field_types_by_class: dict[type, tuple[Any, ...]] = {}


class FrameError(ValueError):
    """Raised when received or stored bytes are not a well-formed, expected message."""


def register_message(tag: int) -> Callable[[type], type]:
    """Register a dataclass as a message with a wire tag.

    :param tag: number that is unique among all messages and never reused
    :raises ValueError: if the tag is already registered
    """

    def register(cls: type) -> type:
        if tag in _classes_by_tag:
            raise ValueError(f"wire tag {tag} is already used by {_classes_by_tag[tag].__name__}")
        _classes_by_tag[tag] = cls
        _tags_by_class[cls] = tag
        return cls

    return register


def encode(instance: Any) -> bytes:
    """Encode an instance of a registered class.

    :raises KeyError: if the class of ``instance`` is not registered
    """
    return cbor2.dumps(_pack(instance))


def decode(data: bytes) -> Any:
    """Decode one registered message and check the type of every field.

    :raises FrameError: if the bytes are not exactly one well-formed message
    """
    try:
        value = cbor2.loads(data)
    except (cbor2.CBORDecodeError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f"invalid CBOR: {error}") from error
    if not isinstance(value, cbor2.CBORTag):
        raise FrameError(f"expected a tagged message, found {type(value).__name__}")
    return _unpack(value)


def registered_classes() -> tuple[type, ...]:
    """Return all registered classes, ordered by wire tag."""
    return tuple(_classes_by_tag[tag] for tag in sorted(_classes_by_tag))


def _pack(value: Any) -> Any:
    if type(value) in _UNPACKED:
        return value
    tag = _tags_by_class.get(type(value))
    if tag is not None:
        fields = [tag]
        for name in value.__slots__:
            item = getattr(value, name)
            fields.append(item if type(item) in _UNPACKED else _pack(item))
        return cbor2.CBORTag(MESSAGE_TAG, fields)
    if dataclasses.is_dataclass(value):
        raise KeyError(f"{type(value).__name__} is not a registered message class")
    if isinstance(value, tuple | list):
        return [_pack(item) for item in value]
    return value


def _unpack(value: Any) -> Any:
    if isinstance(value, list | tuple):
        return tuple(_unpack(item) for item in value)
    if not isinstance(value, cbor2.CBORTag):
        return value
    return _unpack_message(value)


def _unpack_message(value: cbor2.CBORTag) -> Any:
    if value.tag != MESSAGE_TAG or not isinstance(value.value, list | tuple) or not value.value:
        raise FrameError(f"unexpected CBOR tag {value.tag}")
    wire_tag, *packed_fields = value.value
    cls = _classes_by_tag.get(wire_tag) if isinstance(wire_tag, int) else None
    if cls is None:
        raise FrameError(f"unknown wire tag {wire_tag!r}")
    field_types = _field_types(cls)
    if len(packed_fields) != len(field_types):
        raise FrameError(
            f"{cls.__name__} has {len(field_types)} fields, found {len(packed_fields)}"
        )
    values = [item if type(item) in _SCALARS else _unpack(item) for item in packed_fields]
    for position, (item, hint) in enumerate(zip(values, field_types, strict=True)):
        if type(item) is not hint and not _has_type(item, hint):
            name = cls.__slots__[position]  # type: ignore[attr-defined]
            raise FrameError(f"{cls.__name__}.{name} has type {type(item).__name__}")
    return cls(*values)


def _field_types(cls: type) -> tuple[Any, ...]:
    field_types = _field_types_by_class.get(cls)
    if field_types is None:
        types_by_name = typing.get_type_hints(cls)
        field_types = tuple(types_by_name[name] for name in cls.__slots__)  # type: ignore[attr-defined]
        _field_types_by_class[cls] = field_types
    return field_types


def _has_type(value: Any, hint: Any) -> bool:
    if isinstance(hint, type) and not isinstance(hint, types.GenericAlias):
        if hint is int:
            return type(value) is int
        if hint is float:
            return type(value) in (int, float)
        return isinstance(value, hint)
    if isinstance(hint, types.UnionType):
        return any(_has_type(value, option) for option in hint.__args__)
    if typing.get_origin(hint) is tuple:
        item_hint = typing.get_args(hint)[0]
        return isinstance(value, tuple) and all(_has_type(item, item_hint) for item in value)
    return False
