"""Keys under which a node's requests are known to it and to the owners that it asks.

A reply of an owner names its request by this key alone, and may come after the node has restarted
under its name; a slot that was granted before may still be counted there. So no two lives of a node
use the same keys.
"""

import itertools
import secrets

# Two lives share it once in 16 million.
LIFE_BYTES = 3

_life = secrets.token_hex(LIFE_BYTES)
_numbers = itertools.count(1)


def make_key() -> str:
    """Return the key of the next request, unlike those of earlier lives of this node."""
    return f"r{next(_numbers)}.{_life}"
