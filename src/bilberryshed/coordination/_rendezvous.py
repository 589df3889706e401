"""Rendezvous hashing: every process computes the same owner of a key from the same names."""

from collections.abc import Iterable

import xxhash


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight for a key, or ``None`` if there are no names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by their weight for a key, highest first."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key.

    :param shards: number of shards
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest one owns the key."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())
