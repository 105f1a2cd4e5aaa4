"""When the latest segments of a TCP connection came, as the kernel has noted.

A process that stood still, or that read nothing for a while, reads bytes and close at once, however
far apart they came. The kernel knows (``TCP_INFO`` of Linux, ``tcp(7)``).
"""

import socket
import struct
import sys
import typing as t

from rookspring_core.close_ends import SegmentTimes

# ``tcpi_last_data_recv`` and ``tcpi_last_ack_recv`` of ``struct tcp_info``, in milliseconds.
_AGES = struct.Struct("=52x2I")
_KNOWN = sys.platform.startswith("linux")


def read_segment_times(raw: t.Any, now: float) -> SegmentTimes | None:
    """Return when a socket's latest segments came; None where the kernel doesn't tell.

    :param now: by the node's clock, in seconds.
    """
    if raw is None or not _KNOWN:
        return None
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _AGES.size)
        data_ms, heard_ms = _AGES.unpack(info)
    except (OSError, struct.error):
        return None
    return SegmentTimes(now - data_ms / 1000.0, now - heard_ms / 1000.0)
