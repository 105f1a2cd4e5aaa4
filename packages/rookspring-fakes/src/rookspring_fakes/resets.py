"""Ends of connections, as the stand-ins bring them about on the wire.

``abort`` of a transport alone sends no reset: its peer sees a regular close, unless bytes are left
unread.
"""

import socket
import struct
import typing as t


def reset_connection(transport: t.Any) -> None:
    """End a connection by a TCP reset (RST), unless its socket is closed already."""
    raw = transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def close_connection(transport: t.Any) -> None:
    """Close a connection at once, as the end of its process does.

    Its peer sees a close (FIN) if all is read that came, and a reset (RST) otherwise. What the
    kernel has not taken yet is dropped.
    """
    transport.abort()
