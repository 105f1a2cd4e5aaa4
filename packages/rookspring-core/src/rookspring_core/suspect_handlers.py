"""Attribution of crashed endpoints to the requests that ran there, by :mod:`suspects`.

A crash also counts as a failure of the endpoint, in the service's retry window, and towards the
caller. Without this attribution a single request could crash all endpoints, one after another.
"""

import math
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
from .sound_runs import UNKNOWN_LENGTH
from .sound_runs import EndedRun
from .sound_runs import RunLength
from .state import NodeState
from .state import RequestState
from .suspects import Cleared
from .suspects import CrashRecord
from .suspects import EndpointProcess
from .suspects import Evidence
from .suspects import Trial
from .suspects import is_part
from .suspects import subjects_of

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
    table = state.suspects
    subjects = subjects_of(arrived)
    for subject in subjects:
        verdict = table.verdict(subject, state.now)
        if verdict is not None:
            left_s = verdict.until - state.now
            text = (
                f"endpoints ended each time that {_describe(subject)} ran; it has not run now, and "
                f"will not be run again for {left_s:.0f} s"
            )
            return Quarantine(503, "ends_endpoints", text)
    suspects = [subject for subject in subjects if table.is_suspect(subject)]
    free_at = max((_free_at(state, subject) for subject in suspects), default=state.now)
    if free_at <= state.now:
        return None
    text = (
        f"endpoints ended repeatedly while {_describe(suspects[-1])} ran; it may be tried again in "
        "a while"
    )
    return Quarantine(503, "suspected", text, free_at - state.now)


def _free_at(state: NodeState, subject: str) -> float:
    """Return when a suspect may be run again."""
    table = state.suspects
    after_crash_at = table.last_crash_at(subject) + defaults.SUSPECT_RETRY_S
    return max(after_crash_at, table.trial_until(subject))


def _describe(subject: str) -> str:
    return f"a prompt with {subject}" if is_part(subject) else "this request"


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
    return any(state.suspects.is_suspect(subject) for subject in subjects_of(request.arrived))


def begin_trial(state: NodeState, request: RequestState) -> Effects:
    """Share that a suspect is being run, so that no other node runs it meanwhile."""
    until = state.now + defaults.TRIAL_S
    trials = tuple(
        Trial(subject, until)
        for subject in subjects_of(request.arrived)
        if state.suspects.is_suspect(subject)
    )
    return _merge_and_share(state, Evidence(trials=trials))


def note_failed_attempt(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    """Record a failed attempt, in case its endpoint is found to have crashed.

    The end of an endpoint that is leaving, or whose entry has gone, is planned. A network cut, a
    time-out or a refusal is no crash. Nor is an endpoint that fell silent, since a box that loses
    power takes many endpoints down with it.
    """
    endpoint = state.endpoints.get(request.endpoint)
    if not event.sent or event.reported_not_run:
        # The request hasn't run, so this node may try another endpoint at once. Otherwise a
        # suspect that was sent to an ended endpoint waited another 2 s each time.
        for subject in subjects_of(request.arrived):
            state.suspects.end_trial(subject)
    if endpoint is None or endpoint.leaving or endpoint.gone:
        return []
    process = EndpointProcess(request.endpoint, request.endpoint_started_ms)
    effects: Effects = []
    if event.broken:
        confirmed = [
            one
            for record in _record_crash(state, request, process)
            for one in state.suspects.note_broken_request(record)
        ]
        effects += _merge_and_share(state, Evidence(tuple(confirmed)))
    if event.down:
        effects += _note_process_end(state, process)
    elif event.sent and state.now >= request.arrived.deadline_at and not event.broken:
        _note_ended_run(state, request, process)
    return effects


def note_left(state: NodeState, request: RequestState) -> None:
    """Record a running request whose caller left, since its endpoint may be about to crash."""
    if request.running and request.sent:
        process = EndpointProcess(request.endpoint, request.endpoint_started_ms)
        for record in _record_crash(state, request, process):
            state.suspects.note_left(record)
        _note_ended_run(state, request, process)


def _note_ended_run(state: NodeState, request: RequestState, process: EndpointProcess) -> None:
    """Record a run that this node ended, which is sound if its process lives on."""
    length = _measure_run(state, request)
    if length.events and length != UNKNOWN_LENGTH:
        ended_at = min(state.now, request.arrived.deadline_at)
        state.suspects.note_ended_run(
            EndedRun(process, subjects_of(request.arrived), ended_at, length)
        )


def _measure_run(state: NodeState, request: RequestState) -> RunLength:
    """Return how far the answer of a running request has come."""
    if request.arrived.version is not None:
        return UNKNOWN_LENGTH
    if request.first_event_at is None:
        return RunLength(0, 0.0)
    # A node that stood still notes a deadline late; the run was over by then.
    until = min(state.now, request.arrived.deadline_at)
    return RunLength(request.delivered, max(0.0, until - request.first_event_at))


def confirm_sound_runs(state: NodeState) -> Effects:
    """Note which of the runs that this node ended were sound, and tell those that matter."""
    table = state.suspects
    runs = table.find_sound_runs(lambda process: _heard_at(state, process), state.now)
    if not runs:
        return []
    before = {one.subject: table.crash_score(one.subject) for one in runs}
    table.merge(Evidence(sound_runs=runs), state.now)
    changed = [subject for subject in before if table.crash_score(subject) < before[subject]]
    told = Evidence(sound_runs=table.dispute_runs(changed))
    return [] if told.empty() else [ShareEvidence(told, "")]


def _heard_at(state: NodeState, process: EndpointProcess) -> float:
    """Return when anything last came from a process; -inf if it is not known to be there."""
    view = state.endpoints.get(process.endpoint)
    if view is None or view.gone or view.down or process_of(view) != process:
        return -math.inf
    return view.responded_at


def _record_crash(
    state: NodeState, request: RequestState, process: EndpointProcess
) -> list[CrashRecord]:
    """Return the records of a request and of its parts, in case the process has crashed."""
    arrived = request.arrived
    answered_s = state.now - request.first_event_at if request.first_event_at is not None else 0.0
    early = answered_s < defaults.LONG_RUN_S
    return [
        CrashRecord(
            subject,
            arrived.team,
            process,
            state.now,
            early,
            arrived.fingerprint if is_part(subject) else "",
            _measure_run(state, request),
        )
        for subject in subjects_of(arrived)
    ]


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
    """Clear a request that succeeded, and the parts of its prompt, of what they are suspected of.

    A part of one crash is cleared here alone: popular parts are under each crash, and in whole
    answers of all nodes soon after.
    """
    table = state.suspects
    cleared = []
    for subject in subjects_of(request.arrived):
        suspected = table.crash_score(subject) >= defaults.SUSPECT_CRASHES
        if suspected and _speaks_for_all(state) if is_part(subject) else table.known(subject):
            cleared.append(Cleared(subject, state.now))
        if is_part(subject):
            table.note_sound(subject, state.now)
    return _merge_and_share(state, Evidence(cleared=tuple(cleared)))


def _speaks_for_all(state: NodeState) -> bool:
    """Return whether this node tells all others what is sound; of many nodes only relays do."""
    return state.topology.mesh or state.topology.relay


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
    effects: Effects = new_verdicts
    if not added.empty():
        effects.append(ShareEvidence(added, source))
    if not _speaks_for_all(state):
        return effects
    disputed = state.suspects.merge(Evidence(cleared=state.suspects.disputes(evidence)), state.now)
    if not disputed.empty():
        effects.append(ShareEvidence(disputed, ""))
    return effects + _dispute_runs(state, added, source)


def _dispute_runs(state: NodeState, added: Evidence, source: str) -> Effects:
    """Tell of the sound runs here of subjects that evidence of another node may convict."""
    if not source:
        return []
    subjects = {one.fingerprint for one in added.crash_records}
    subjects |= {one.fingerprint for one in added.verdicts}
    told = Evidence(sound_runs=state.suspects.dispute_runs(subjects))
    return [] if told.empty() else [ShareEvidence(told, "")]


@handles(EvidenceReceived)
def handle_evidence(state: NodeState, event: EvidenceReceived) -> Effects:
    """Merge another node's evidence, and forward what was not known yet.

    Requests of this node whose connections to the crashed processes broke are added.
    """
    effects = _merge_and_share(state, event.evidence, event.source)
    for process in {one.process for one in event.evidence.crash_records}:
        effects += _note_process_end(state, process)
    return effects
