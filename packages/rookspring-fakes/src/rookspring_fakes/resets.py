"""Ends of connections, as the stand-ins bring them about on the wire."""

import asyncio
import socket
import struct
import typing as t


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset instead of a regular close."""
    raw: t.Any = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
