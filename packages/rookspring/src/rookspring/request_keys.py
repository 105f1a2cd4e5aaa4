"""Keys under which a node's requests are known to it and to the owners that it asks.

A reply of an owner names its request by this key alone, and may come after the node has restarted
under its name; a slot that was granted before may still be counted there. So no two lives of a node
use the same keys. A reply may also come after the request has asked again, so each question has a
key of its own; owners return it as it is.
"""

import itertools
import secrets

# Two lives share it once in 16 million.
LIFE_BYTES = 3

_QUESTION_MARK = "?"

_life = secrets.token_hex(LIFE_BYTES)
_numbers = itertools.count(1)


def make_key() -> str:
    """Return the key of the next request, unlike those of earlier lives of this node."""
    return f"r{next(_numbers)}.{_life}"


def make_question_key(key: str, question: int) -> str:
    """Return the key of one of a request's questions to owners.

    :param key: the request's.
    :param question: its number, from 1; the key of the first is the request's.
    """
    return key if question == 1 else f"{key}{_QUESTION_MARK}{question}"


def split_question_key(text: str) -> tuple[str, int]:
    """Return the key of a request, and the number of its question; 0 if it has none like it."""
    key, mark, number = text.rpartition(_QUESTION_MARK)
    if not mark:
        return text, 1
    return key, int(number) if number.isascii() and number.isdigit() else 0
