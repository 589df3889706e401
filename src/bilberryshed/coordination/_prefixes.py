"""Hashes of growing prompt prefixes, to find backend servers that have them cached."""

import xxhash

PREFIX_BYTES = 512  # bytes by which each prefix is longer than the one before
MAX_PREFIXES = 64  # prefixes of one prompt


def prompt_prefixes(target: str, prompt: bytes) -> tuple[int, ...]:
    """Return hashes of the prompt's whole-block prefixes, shortest first.

    :param target: model version, whose caches are its own
    :param prompt: the prompt as the backend server reads it
    """
    digest = xxhash.xxh3_64(target.encode())
    hashes = []
    blocks = min(len(prompt) // PREFIX_BYTES, MAX_PREFIXES)
    for block in range(blocks):
        digest.update(prompt[block * PREFIX_BYTES : (block + 1) * PREFIX_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
