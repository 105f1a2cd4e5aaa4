"""Mutants of the evacuation of data centres."""

import typing as t

from rookspring import relay_evacuations
from rookspring_core import evacuation_handlers
from rookspring_core import missing_models
from rookspring_core import notice_handlers
from rookspring_core import planning
from rookspring_core import residency
from rookspring_core import slot_requests
from rookspring_core.endpoints import EndpointView
from rookspring_core.evacuations import EvacuationList
from rookspring_core.evacuations import EvacuationTable

from .mutant import EVACUATIONS
from .mutant import EVACUATIONS_SOCKETS
from .mutant import Mutant

_real_take = EvacuationTable.take
_real_withheld = notice_handlers.find_withheld
_real_plannable = planning._plannable
_real_requests = residency._request_reports
_real_endpoints = slot_requests._service_endpoints


def _nothing(*args: t.Any) -> None:
    return None


def _no_effects(*args: t.Any) -> list[t.Any]:
    return []


def _never(*args: t.Any) -> bool:
    return False


def _closed_but_evacuated(self: EndpointView) -> bool:
    return self.leaving or self.gone


def _serve_evacuated(state: t.Any, endpoint: EndpointView) -> bool:
    return not (endpoint.leaving or endpoint.gone) and endpoint.may_listen(state.now)


def _send_evacuated(state: t.Any, endpoint: str) -> str:
    why = _real_withheld(state, endpoint)
    return "" if "evacuated" in why else why


def _plan_evacuated(state: t.Any, view: EndpointView) -> bool:
    was, view.evacuated = view.evacuated, False
    try:
        return _real_plannable(state, view)
    finally:
        view.evacuated = was


def _read_evacuated(state: t.Any) -> t.Any:
    before = {name: view.evacuated for name, view in state.endpoints.items()}
    try:
        for view in state.endpoints.values():
            view.evacuated = False
        return _real_requests(state)
    finally:
        for name, was in before.items():
            state.endpoints[name].evacuated = was


def _grant_evacuated(state: t.Any, service: str) -> t.Any:
    before = {name: view.evacuated for name, view in state.endpoints.items()}
    try:
        for view in state.endpoints.values():
            view.evacuated = False
        return _real_endpoints(state, service)
    finally:
        for name, was in before.items():
            state.endpoints[name].evacuated = was


def _take_any(self: EvacuationTable, found: EvacuationList, now: float) -> bool:
    """Take a list whatever its position."""
    self.listed = found
    return True


def _take_by_revision(self: EvacuationTable, found: EvacuationList, now: float) -> bool:
    """Compare revisions of different eras."""
    if found.revision <= self.listed.revision:
        return False
    return _real_take(self, found, now)


def _take_copy(self: EvacuationTable, found: EvacuationList, now: float) -> bool:
    """End at once what a restored store lacks."""
    taken = _real_take(self, found, now)
    self._kept.clear()
    return taken


def _shares_all(self: EvacuationTable, found: EvacuationList, now: float) -> bool:
    """Share each list that is later, though it says nothing new."""
    before = self.listed.position
    _real_take(self, found, now)
    return self.listed.position > before


MUTANTS = (
    Mutant(
        "an evacuated endpoint is open",
        "EVAC",
        EndpointView,
        "closed",
        property(_closed_but_evacuated),
        EVACUATIONS,
    ),
    Mutant(
        "serves where all are evacuated",
        "EVAC",
        missing_models,
        "may_serve",
        _serve_evacuated,
        EVACUATIONS,
    ),
    Mutant(
        "sends what was decided before",
        "EVAC",
        notice_handlers,
        "find_withheld",
        _send_evacuated,
        EVACUATIONS,
    ),
    Mutant(
        "plans with evacuated runners",
        "callers",
        planning,
        "_plannable",
        _plan_evacuated,
        EVACUATIONS,
    ),
    Mutant(
        "reads evacuated runners",
        "EVAC",
        residency,
        "_request_reports",
        _read_evacuated,
        EVACUATIONS,
    ),
    Mutant(
        "grants slots of evacuated endpoints",
        "EVAC",
        slot_requests,
        "_service_endpoints",
        _grant_evacuated,
        EVACUATIONS_SOCKETS,
    ),
    Mutant("the last list holds", "EVAC", EvacuationTable, "take", _take_any, EVACUATIONS),
    Mutant(
        "compares revisions of two eras",
        "EVAC",
        EvacuationTable,
        "take",
        _take_by_revision,
        EVACUATIONS,
    ),
    Mutant("trusts a restored store", "EVAC", EvacuationTable, "take", _take_copy, EVACUATIONS),
    Mutant("shares what is known", "calls", EvacuationTable, "take", _shares_all, EVACUATIONS),
    Mutant("keeps for good", "callers", EvacuationTable, "expire", _never, EVACUATIONS),
    Mutant("tells nobody", "EVAC", relay_evacuations, "share_evacuations", _nothing, EVACUATIONS),
    Mutant("leaves who waits", "callers", evacuation_handlers, "_apply", _no_effects, EVACUATIONS),
)
