"""A stable hash that replaces randomness in decisions."""

import xxhash


def stable_hash(*parts: str) -> int:
    """Hash strings to a 64-bit number that is the same on every node and in every run."""
    return xxhash.xxh64_intdigest("\x00".join(parts).encode())


def retry_jitter(request_id: str) -> float:
    """Return the part of a spread of retries that a request's caller gets, from 0 to below 1."""
    return stable_hash("come back", request_id) % 1000 / 1000.0
