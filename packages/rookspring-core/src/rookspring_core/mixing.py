"""A hash that takes the place of chance in decisions; the same on every node."""

import xxhash


def mix(*parts: str) -> int:
    """Hash names to a number; the same on every node."""
    return xxhash.xxh64_intdigest("\x00".join(parts).encode())
