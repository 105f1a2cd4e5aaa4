"""Mutants of decisions on values that can't be read or sent: in messages and in headers."""

import math
import typing as t

import orjson

from rookspring import _client_connection
from rookspring import _message_coding
from rookspring import defaults
from rookspring import endpoints
from rookspring import gossip
from rookspring import http_platform
from rookspring import operators
from rookspring import relay_peers
from rookspring import relay_store_loops
from rookspring import request_parsing
from rookspring import signing
from rookspring.exceptions import PeerError
from rookspring.peers import Link
from rookspring_core import control_jobs
from rookspring_core import defaults as core_defaults
from rookspring_platform import dialect
from rookspring_platform import notices

from .mutant import DOUBLED_HEADERS
from .mutant import NUMBERS_THAT_HOLD
from .mutant import ODD_CALLS
from .mutant import ODD_HEADERS
from .mutant import ODD_LINKS
from .mutant import ODD_MESSAGES
from .mutant import OVERWRITTEN_ROWS
from .mutant import Mutant


def _drop_message(tag: str, field: t.Any, rows: list[t.Any], note: t.Any) -> list[t.Any]:
    """Drop the message for any odd row."""
    found = _real_read_rows(tag, field, rows, note)
    if len(found) < len(rows):
        raise PeerError(tag)
    return found


_real_read_rows = _message_coding._read_rows


def _keep_rows(tag: str, field: t.Any, rows: list[t.Any], note: t.Any) -> list[t.Any]:
    return rows


def _keep_field(tag: str, field: t.Any, value: t.Any, note: t.Any) -> t.Any:
    return value


async def _write_missing(context: t.Any, rows: t.Mapping[str, t.Any]) -> bool:
    """Take any row under the node's name for its own."""
    return context.state.identity.name in rows or await _real_write_row(context, rows)


_real_write_row = relay_store_loops._write_row


def _alive_by_any_later(state: t.Any) -> bool:
    return any(
        peer.heartbeat.lease_epoch >= max(1, state.control.lease.epoch)
        and state.now - peer.received_at < core_defaults.HOLDER_QUIET_S
        for peer in state.membership.peers.values()
    )


def _drop_unnoted(tag: str, field: t.Any, rows: list[t.Any], note: t.Any) -> list[t.Any]:
    return _real_read_rows(tag, field, rows, lambda kind, reason: None)


def _end_link(self: Link, raw: t.Any) -> t.Any:
    return _message_coding.decode(raw)


def _drop_hello(self: Link, raw: t.Any) -> t.Any:
    try:
        return _message_coding.decode(raw)
    except PeerError:
        return None


async def _handle_unguarded(link: Link, receivers: t.Any, node: t.Any) -> None:
    while True:
        item = await link.receive()
        if type(item) in receivers:
            receivers[type(item)](node, link, item)


def _raise(item: t.Any, reason: str) -> bytes:
    raise ValueError(reason)


def _send_nothing(item: t.Any, reason: str) -> bytes:
    return b""


def _keep_unsendable(tag: str, field: t.Any, value: t.Any) -> t.Any:
    return value


def _first_type(types_: t.Any, row: t.Any) -> t.Any:
    return types_[0]


def _parse_any(raw: bytes, most: int = 0) -> int | None:
    return int(raw) if raw.isdigit() else None


def _parse_any_hex(raw: bytes, most: int = 0) -> int | None:
    try:
        return int(raw, 16)
    except ValueError:
        return None


def _none(request: t.Any) -> None:
    return None


def _utf_8(text: str) -> bytes:
    return text.encode()


def _any_text(request: t.Any, name: str) -> str:
    return str(request.headers.get(name, ""))


def _read_all(kind: str, items: t.Any, read: t.Any) -> tuple[t.Any, ...]:
    return tuple(read(item) for item in items)


def _trust_line(line: bytes) -> endpoints.Chunk:
    raw = orjson.loads(line)
    return endpoints.Chunk(raw["offset"], raw["tokens"])


MUTANTS = (
    Mutant(
        "one row drops all",
        "membership",
        _message_coding,
        "_read_rows",
        _drop_message,
        ODD_MESSAGES,
    ),
    Mutant("reads any row", "membership", _message_coding, "_read_rows", _keep_rows, ODD_MESSAGES),
    Mutant(
        "reads any number of a row",
        "membership",
        _message_coding,
        "_read_rows",
        _keep_rows,
        NUMBERS_THAT_HOLD,
    ),
    Mutant(
        "reads any number",
        "membership",
        _message_coding,
        "_read_field",
        _keep_field,
        NUMBERS_THAT_HOLD,
    ),
    Mutant(
        "drops in silence", "traces", _message_coding, "_read_rows", _drop_unnoted, ODD_MESSAGES
    ),
    Mutant("ends the link", "membership", Link, "_decode", _end_link, ODD_MESSAGES),
    Mutant("waits for a hello", "membership", Link, "_decode", _drop_hello, ODD_MESSAGES),
    Mutant(
        "a fault ends the link",
        "membership",
        relay_peers,
        "handle_messages",
        _handle_unguarded,
        ODD_MESSAGES,
    ),
    Mutant(
        "a fault ends a link of the product",
        "membership",
        gossip,
        "handle_messages",
        _handle_unguarded,
        ODD_LINKS,
    ),
    Mutant("sends all or fails", "drain", _message_coding, "_encode_rest", _raise, ODD_MESSAGES),
    Mutant(
        "sends all or nothing",
        "drain",
        _message_coding,
        "_encode_rest",
        _send_nothing,
        ODD_MESSAGES,
    ),
    Mutant(
        "keeps the odd row",
        "drain",
        _message_coding,
        "_without_odd",
        _keep_unsendable,
        ODD_MESSAGES,
    ),
    Mutant("sends rows of any size", "drain", defaults, "ROW_BYTES_MAX", 1 << 30, ODD_MESSAGES),
    Mutant("one kind of row", "traces", _message_coding, "_choose_type", _first_type, ODD_MESSAGES),
    Mutant("logs each", "traces", defaults, "DROPPED_LOG_INTERVAL_S", 0.0, ODD_MESSAGES),
    Mutant("logs once for good", "traces", defaults, "DROPPED_LOG_INTERVAL_S", 1e9, ODD_MESSAGES),
    Mutant("reads any digits", "refusals", dialect, "parse_digits", _parse_any, ODD_HEADERS),
    Mutant("reads any hex", "refusals", dialect, "parse_hex", _parse_any_hex, ODD_HEADERS),
    Mutant("passes over a deadline", "deadline", dialect, "_read_deadline", _none, ODD_HEADERS),
    Mutant("passes over counts", "limits", dialect, "_read_token_counts", _none, ODD_HEADERS),
    Mutant(
        "believes a later epoch",
        "one holder",
        control_jobs,
        "holder_alive",
        _alive_by_any_later,
        NUMBERS_THAT_HOLD,
    ),
    Mutant(
        "takes any row for its own",
        "membership",
        relay_store_loops,
        "_write_row",
        _write_missing,
        OVERWRITTEN_ROWS,
    ),
    Mutant("reads the first value", "memory", dialect, "_check_single", _none, DOUBLED_HEADERS),
    Mutant("encodes an id anew", "whole answers", dialect, "_encode", _utf_8, ODD_HEADERS),
    Mutant("takes any number", "refusals", notices, "NUMBER_MAX", math.inf, ODD_HEADERS),
    Mutant(
        "keeps a connection open for any time",
        "refusals",
        _client_connection,
        "parse_digits",
        _parse_any,
        ODD_HEADERS,
    ),
    Mutant("reads any offset", "refusals", signing, "parse_digits", _parse_any, ODD_CALLS),
    Mutant("reads any attempt", "refusals", request_parsing, "parse_digits", _parse_any, ODD_CALLS),
    Mutant("reads any version", "refusals", operators, "parse_digits", _parse_any, ODD_CALLS),
    Mutant("passes any header on", "refusals", request_parsing, "_read_text", _any_text, ODD_CALLS),
    Mutant("one object spoils all", "keys", http_platform, "_read_items", _read_all, ODD_CALLS),
    Mutant("trusts a line", "whole answers", endpoints, "_read_chunk", _trust_line, ODD_CALLS),
)
