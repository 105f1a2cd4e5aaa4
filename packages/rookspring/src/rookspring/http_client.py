"""HTTP/1.1 client for endpoints, on asyncio and the ``httptools`` parser.

``aiohttp`` resends a request on its own when a pooled connection turns out to be closed,
adds headers and rewrites paths. The relay must know whether a byte of a request was sent
and must never send it twice, so it uses the connections of this module.
"""

from ._client_connection import AcceptHead as AcceptHead
from ._client_connection import ClientConnection as ClientConnection
from ._client_connection import OnHead as OnHead
from ._connection_pool import ConnectionPool as ConnectionPool
from ._connection_pool import call as call
from ._reply import Reply as Reply
