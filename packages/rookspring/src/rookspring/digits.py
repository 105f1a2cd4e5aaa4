"""Whole numbers from bytes or text, bounded before they become numbers.

``int`` raises an error for some thousands of digits, takes signs, spaces and underscores, and a
number of hundreds of digits raises one where it meets a float or a message between nodes.
"""

import string

# Digits of the largest number of 64 bits.
DIGITS_64_BITS = 20
HEX_DIGITS_64_BITS = 16
_HEX = frozenset(string.hexdigits.encode())


def parse_digits(raw: bytes | str, most: int = DIGITS_64_BITS) -> int | None:
    """Return the number that decimal digits write; None for anything else, or too many digits.

    :param most: digits that it may have.
    """
    # Digits of other scripts are digits too, and ``int`` takes some of them only.
    if len(raw) > most or not (raw.isascii() and raw.isdigit()):
        return None
    return int(raw)


def parse_hex(raw: bytes, most: int = HEX_DIGITS_64_BITS) -> int | None:
    """Return the number that hexadecimal digits write; None for anything else, or too many.

    :param most: digits that it may have.
    """
    if not raw or len(raw) > most or not _HEX.issuperset(raw):
        return None
    return int(raw, 16)
