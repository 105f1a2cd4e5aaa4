"""Compression of large values in messages between nodes.

A configuration repeats the same names in each of its routes, so it shrinks to a tenth. On a thin
link the copies for a relay's followers would otherwise hold up everything else for seconds.
"""

import typing as t
import zlib

import msgpack

from . import defaults
from .exceptions import PeerError


def pack(value: t.Any) -> bytes:
    """Encode and compress a value."""
    return zlib.compress(t.cast(bytes, msgpack.packb(value, use_bin_type=True)))


def unpack(data: t.Any) -> t.Any:
    """Return the value of :func:`pack`.

    :raises PeerError: if it is malformed, or larger than ``FRAME_BYTES_MAX`` bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, defaults.FRAME_BYTES_MAX)
        if not decompressor.eof:
            raise PeerError("a packed value is cut short or too large")
        return msgpack.unpackb(raw, raw=False)
    except (TypeError, ValueError, zlib.error, msgpack.exceptions.UnpackException) as error:
        raise PeerError(f"a packed value: {type(error).__name__}") from None
