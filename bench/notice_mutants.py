"""Mutants of the handling of notices, in which endpoints report that they leave or back off."""

import typing as t

from rookspring import relay_merged
from rookspring import relay_notices
from rookspring_core import notice_handlers
from rookspring_core import notices
from rookspring_core import retry_after
from rookspring_core import routed
from rookspring_core import slot_requests
from rookspring_core.endpoints import EndpointView
from rookspring_core.notices import Notice
from rookspring_core.notices import NoticeTable
from rookspring_core.notices import RequestedBackoff

from .mutant import NOTICES
from .mutant import Mutant


def _nothing(*args: t.Any) -> None:
    return None


def _no_effects(*args: t.Any) -> list[t.Any]:
    return []


def _never(*args: t.Any) -> bool:
    return False


def _always(*args: t.Any) -> bool:
    return True


def _not_withheld(state: t.Any, endpoint: str) -> str:
    return ""


def _no_cooldown(state: t.Any, arrived: t.Any) -> float:
    return 0.0


def _uncapped(self: Notice) -> float:
    return self.backoff_s or 0.0


def _replace_backoff(self: NoticeTable, endpoint: str, born: int, until: float) -> None:
    self._backoffs[endpoint] = RequestedBackoff(born, until)


def _ignore_backoff(state: t.Any, endpoint: str) -> EndpointView | None:
    view: EndpointView | None = state.endpoints.get(endpoint)
    return view


def _accept_other_process(state: t.Any, event: t.Any) -> list[t.Any]:
    """Accept the notice of another process at the address of the requested one."""
    if not event.notice.leaving:
        return []
    return notice_handlers._note_leaving(state, event.endpoint, event.started_ms)


def _no_spread(state: t.Any, request: t.Any) -> float:
    return routed.backoff_left_s(state, request.arrived)


MUTANTS = (
    Mutant("forgets with the view", "DRAIN", notice_handlers, "restore_notices", _nothing, NOTICES),
    Mutant("tells nobody who leaves", "DRAIN", relay_notices, "share_leaving", _nothing, NOTICES),
    Mutant("greets with no leavings", "DRAIN", relay_merged, "send_merged_sets", _nothing, NOTICES),
    Mutant("compares no leavings", "DRAIN", relay_merged, "resend_if_different", _nothing, NOTICES),
    Mutant("grants no rest", "BUDGET", EndpointView, "in_backoff", _never, NOTICES),
    Mutant("resting is better than none", "BUDGET", routed, "_is_backing_off", _never, NOTICES),
    Mutant(
        "sends what was decided", "DRAIN", notice_handlers, "find_withheld", _not_withheld, NOTICES
    ),
    Mutant("waits for a rest in vain", "callers", routed, "backoff_left_s", _no_cooldown, NOTICES),
    Mutant("tells nobody who sheds", "callers", relay_notices, "share_shed", _nothing, NOTICES),
    Mutant("a life never ends", "reach", NoticeTable, "note_restart", _nothing, NOTICES),
    Mutant("any life is the same", "reach", notices, "may_be_same_process", _always, NOTICES),
    Mutant("the last rest holds", "BUDGET", NoticeTable, "add_backoff", _replace_backoff, NOTICES),
    Mutant(
        "all at once after a rest",
        "callers",
        EndpointView,
        "probing_after_backoff",
        _never,
        NOTICES,
    ),
    Mutant(
        "whoever answers is meant",
        "reach",
        notice_handlers,
        "_handle_other_process",
        _accept_other_process,
        NOTICES,
    ),
    Mutant(
        "ignores another's address",
        "reach",
        notice_handlers,
        "_handle_other_process",
        _no_effects,
        NOTICES,
    ),
    Mutant("remembers for good", "reach", NoticeTable, "tick", _nothing, NOTICES),
    Mutant("bounds no notices", "memory", notices, "_bound", _nothing, NOTICES),
    Mutant(
        "rests for as long as asked", "reach", Notice, "requested_backoff_s", _uncapped, NOTICES
    ),
    Mutant("a slot is a slot", "BUDGET", slot_requests, "usable", _ignore_backoff, NOTICES),
    Mutant(
        "all back at one moment",
        "callers",
        retry_after,
        "backoff_retry_after_s",
        _no_spread,
        NOTICES,
    ),
)
