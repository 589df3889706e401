"""Hashes of prompt prefixes, by which backend servers that have them cached are found."""

import xxhash

PREFIX_BYTES = 512  # bytes of a block; each prefix is one block longer than the previous one
MAX_PREFIXES = 64  # prefixes hashed for one prompt


def prompt_prefixes(target: str, prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes of complete blocks, shortest first.

    :param target: model version, part of the hash because caches are not shared between versions
    :param prompt: the prompt as it is sent to the backend server
    """
    digest = xxhash.xxh3_64(target.encode())
    hashes = []
    blocks = min(len(prompt) // PREFIX_BYTES, MAX_PREFIXES)
    for block in range(blocks):
        digest.update(prompt[block * PREFIX_BYTES : (block + 1) * PREFIX_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
