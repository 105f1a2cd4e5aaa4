"""Mutants of the decisions by the software version that began a stream."""

import typing as t

from rookspring import relay
from rookspring import relay_handovers
from rookspring import relay_streams
from rookspring_core import requests
from rookspring_core import slot_requests
from rookspring_core import stream_origins
from rookspring_core.endpoints import EndpointView
from rookspring_core.stream_versions import StreamVersions

from .mutant import VERSIONS
from .mutant import VERSIONS_SOCKETS
from .mutant import Mutant


def _always(*args: t.Any) -> bool:
    return True


def _never(*args: t.Any) -> bool:
    return False


def _nothing(*args: t.Any) -> list[t.Any]:
    return []


def _tell_nobody(*args: t.Any) -> None:
    return None


def _listed(self: EndpointView) -> str:
    return self.listed_version[0]


def _one_queue(arrived: t.Any) -> str:
    return f"{arrived.route.service}/{arrived.adapter or arrived.target}"


def _forget_former(self: StreamVersions, service: str, now: float) -> bool:
    return len(self._serving.get(service, set())) > 1


def _forget_stored(self: StreamVersions, left: t.Any, now: float) -> None:
    self.former_known = True


async def _any_version(context: t.Any, exchange: t.Any) -> str | None:
    version = await _find_version(context, exchange)
    return None if version == "?" else version


_find_version = relay._find_version


def _forget_begin(context: t.Any, effect: t.Any, exchange: t.Any) -> bytes:
    exchange.stream_id = ""
    return _write_request(context, effect, exchange)


_write_request = relay_handovers._write_request


def _ask_always(state: t.Any, request: t.Any) -> list[t.Any]:
    arrived = request.arrived
    request.arrived = arrived._replace(version=None)
    effects = _ask(state, request)
    request.arrived = arrived
    return effects


_ask = slot_requests.ask

MUTANTS = (
    Mutant("any version", "one version", stream_origins, "may_go_on_at", _always, VERSIONS),
    Mutant("waits in vain", "one version", stream_origins, "is_served", _always, VERSIONS),
    Mutant("one queue for all", "one version", requests, "queue_key", _one_queue, VERSIONS),
    Mutant("trusts rows", "one version", EndpointView, "software_version", _listed, VERSIONS),
    Mutant(
        "forgets versions", "one version", StreamVersions, "has_several", _forget_former, VERSIONS
    ),
    Mutant("asks for slots", "one version", slot_requests, "ask", _ask_always, VERSIONS),
    Mutant("tells nothing", "one version", stream_origins, "tell_origin", _nothing, VERSIONS),
    Mutant(
        "leaves running ones", "one version", stream_origins, "tell_running", _nothing, VERSIONS
    ),
    Mutant(
        "tells nobody",
        "one version",
        relay_streams,
        "tell_owners",
        _tell_nobody,
        VERSIONS_SOCKETS,
    ),
    Mutant("forgets the store", "one version", StreamVersions, "restore", _forget_stored, VERSIONS),
    Mutant(
        "trusts the young", "one version", stream_origins, "knows_former", _always, VERSIONS_SOCKETS
    ),
    Mutant("asks nobody", "one version", stream_origins, "must_ask", _never, VERSIONS_SOCKETS),
    Mutant("guesses", "one version", relay, "_find_version", _any_version, VERSIONS_SOCKETS),
    Mutant(
        "hides the begin",
        "one version",
        relay_handovers,
        "_write_request",
        _forget_begin,
        VERSIONS_SOCKETS,
    ),
)
