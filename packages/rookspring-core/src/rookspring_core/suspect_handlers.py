"""Attribution of crashed endpoints to the requests that ran there, by :mod:`suspects`.

A crash also counts as a failure of the endpoint, in the service's retry window, and towards the
caller. Without this attribution a single request could crash all endpoints, one after another.
"""

import typing as t

from . import defaults
from .effects import Effect
from .effects import Refuse
from .effects import ShareEvidence
from .effects import VerdictFound
from .endpoints import EndpointView
from .events import AttemptFailed
from .events import EvidenceReceived
from .events import RequestArrived
from .hashing import stable_hash
from .reducer import handles
from .state import NodeState
from .state import RequestState
from .suspects import Cleared
from .suspects import CrashRecord
from .suspects import EndpointProcess
from .suspects import Evidence
from .suspects import Trial

Effects = list[Effect]

# Start times are in milliseconds of a clock; a hash used instead of one is below any of them.
BORN_MAX = 1 << 31


class Quarantine(t.NamedTuple):
    """Why a suspect may not be sent to an endpoint now.

    :param after_s: when the caller may retry, in seconds; 0 if it should not.
    """

    status: int
    reason: str
    text: str
    after_s: float = 0.0


def find_quarantine(state: NodeState, arrived: RequestArrived) -> Quarantine | None:
    """Return why a request may not be sent now; None if it may.

    A request whose evidence has reached ``CRASHES_MAX`` crashes is refused until its verdict
    expires, since it would crash the next endpoint too. From ``SUSPECT_CRASHES`` crashes on, a
    request is run at most once at a time, and no sooner than ``SUSPECT_RETRY_S`` after the last
    crash, so that a further crash is clear evidence against it and costs few other requests.
    """
    if not arrived.fingerprint:
        return None
    table = state.suspects
    verdict = table.verdict(arrived.fingerprint, state.now)
    if verdict is not None:
        left_s = verdict.until - state.now
        text = (
            "endpoints ended each time that this request ran; it has not run now, and will not "
            f"be run again for {left_s:.0f} s"
        )
        return Quarantine(503, "ends_endpoints", text)
    if table.crash_score(arrived.fingerprint) < defaults.SUSPECT_CRASHES:
        return None
    free_at = table.last_crash_at(arrived.fingerprint) + defaults.SUSPECT_RETRY_S
    free_at = max(free_at, table.trial_until(arrived.fingerprint))
    if free_at <= state.now:
        return None
    text = "endpoints ended twice while this request ran; it may be tried again in a while"
    return Quarantine(503, "suspected", text, free_at - state.now)


def refuse_quarantined(state: NodeState, arrived: RequestArrived) -> Refuse | None:
    """Return the refusal of a request that may not be sent now; None if it may."""
    quarantine = find_quarantine(state, arrived)
    if quarantine is None:
        return None
    identity = arrived.request_id
    state.record(identity, f"refused {quarantine.reason}", quarantine.text)
    return Refuse(
        identity,
        quarantine.status,
        quarantine.reason,
        "not_run",
        quarantine.text,
        spread_retry_s(arrived, quarantine),
    )


def spread_retry_s(arrived: RequestArrived, quarantine: Quarantine) -> float:
    """Return when a refused suspect may be retried, spread by request; 0 if it should not be."""
    spread = stable_hash("suspected", arrived.request_id) % 1000 / 1000.0
    return quarantine.after_s * (1.0 + spread)


def is_suspect(state: NodeState, request: RequestState) -> bool:
    """Return whether a request is a suspect of ``SUSPECT_CRASHES`` crashes or more.

    Such a request is run where a crash would lose the fewest others.
    """
    return state.suspects.crash_score(request.arrived.fingerprint) >= defaults.SUSPECT_CRASHES


def begin_trial(state: NodeState, request: RequestState) -> Effects:
    """Share that a suspect is being run, so that no other node runs it meanwhile."""
    if not is_suspect(state, request):
        return []
    trial = Trial(request.arrived.fingerprint, state.now + defaults.TRIAL_S)
    return _merge_and_share(state, Evidence(trials=(trial,)))


def note_failed_attempt(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    """Record a failed attempt, in case its endpoint is found to have crashed.

    The end of an endpoint that is leaving, or whose entry has gone, is planned. A network cut, a
    time-out or a refusal is no crash. Nor is an endpoint that fell silent, since a box that loses
    power takes many endpoints down with it.
    """
    endpoint = state.endpoints.get(request.endpoint)
    fingerprint = request.arrived.fingerprint
    if not event.sent or event.reported_not_run:
        # The request hasn't run, so this node may try another endpoint at once. Otherwise a
        # suspect that was sent to an ended endpoint waited another 2 s each time.
        state.suspects.end_trial(fingerprint)
    if endpoint is None or endpoint.leaving or endpoint.gone:
        return []
    process = EndpointProcess(request.endpoint, request.endpoint_started_ms)
    effects: Effects = []
    if event.broken and fingerprint:
        record = _record_crash(state, request, process)
        effects += _merge_and_share(
            state, Evidence(tuple(state.suspects.note_broken_request(record)))
        )
    if event.down:
        effects += _note_process_end(state, process)
    return effects


def note_left(state: NodeState, request: RequestState) -> None:
    """Record a running request whose caller left, since its endpoint may be about to crash."""
    if request.arrived.fingerprint and request.running and request.sent:
        process = EndpointProcess(request.endpoint, request.endpoint_started_ms)
        state.suspects.note_left(_record_crash(state, request, process))


def _record_crash(state: NodeState, request: RequestState, process: EndpointProcess) -> CrashRecord:
    arrived = request.arrived
    answered_s = state.now - request.first_event_at if request.first_event_at is not None else 0.0
    early = answered_s < defaults.LONG_RUN_S
    return CrashRecord(arrived.fingerprint, arrived.team, process, state.now, early)


def note_endpoint_end(state: NodeState, view: EndpointView) -> Effects:
    """Record that the process known at an endpoint has ended, unless it was leaving."""
    if view.leaving:
        return []
    return _note_process_end(state, process_of(view))


def process_of(view: EndpointView) -> EndpointProcess:
    """Return the process known at an endpoint, by its start time or else its incarnation."""
    report = view.report
    if report is None:
        return EndpointProcess(view.name, 0)
    return EndpointProcess(
        view.name, report.started_ms or stable_hash("life", report.incarnation) % BORN_MAX
    )


def _note_process_end(state: NodeState, process: EndpointProcess) -> Effects:
    return _merge_and_share(
        state, Evidence(tuple(state.suspects.note_process_end(process, state.now)))
    )


def clear_suspect(state: NodeState, request: RequestState) -> Effects:
    """Clear a request that succeeded, if it was a suspect."""
    fingerprint = request.arrived.fingerprint
    if not state.suspects.known(fingerprint):
        return []
    return _merge_and_share(state, Evidence(cleared=(Cleared(fingerprint, state.now),)))


def _merge_and_share(state: NodeState, evidence: Evidence, source: str = "") -> Effects:
    """Merge evidence, and share what was not known yet with the other nodes."""
    if evidence.empty():
        return []
    earlier_verdicts = {one.fingerprint for one in state.suspects.verdicts(state.now)}
    added = state.suspects.merge(evidence, state.now)
    new_verdicts: Effects = [
        VerdictFound(
            one.fingerprint,
            one.organisation,
            tuple(
                process.endpoint for process in state.suspects.crashed_processes(one.fingerprint)
            ),
            one.until - state.now,
        )
        for one in state.suspects.verdicts(state.now)
        if one.fingerprint not in earlier_verdicts
    ]
    return new_verdicts if added.empty() else [*new_verdicts, ShareEvidence(added, source)]


@handles(EvidenceReceived)
def handle_evidence(state: NodeState, event: EvidenceReceived) -> Effects:
    """Merge another node's evidence, and forward what was not known yet.

    Requests of this node whose connections to the crashed processes broke are added.
    """
    effects = _merge_and_share(state, event.evidence, event.source)
    for process in {one.process for one in event.evidence.crash_records}:
        effects += _note_process_end(state, process)
    return effects
