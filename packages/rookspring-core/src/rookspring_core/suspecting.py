"""What a lost endpoint is charged to: the requests that ran there, by :mod:`suspects`.

Were a loss charged to the endpoint, the service's window and the caller alone, and not to what the
endpoint was doing, one request could end all endpoints by turns.
"""

import typing as t

from . import defaults
from .effects import Effect
from .effects import Refuse
from .effects import ShareEvidence
from .effects import VerdictFound
from .endpoints import EndpointView
from .events import AttemptFailed
from .events import EvidenceHeard
from .events import RequestArrived
from .mixing import mix
from .reducer import handles
from .state import NodeState
from .state import RequestState
from .suspects import Cleared
from .suspects import Evidence
from .suspects import Life
from .suspects import Sighting
from .suspects import Trial

Effects = list[Effect]

# Starts are told in milliseconds of a clock; what stands for one is far below any.
BORN_MAX = 1 << 31


class Barred(t.NamedTuple):
    """Why a request may not be sent to an endpoint now.

    :param after_s: when to come back, in seconds; 0 where it is not to come back.
    """

    status: int
    reason: str
    text: str
    after_s: float = 0.0


def find_bar(state: NodeState, arrived: RequestArrived) -> Barred | None:
    """Say why a request may not be sent now; None where it may.

    One under which ``ENDS_MAX`` processes ended is refused for as long as that is remembered:
    it would end the next. A suspect of more than one end waits a while after the last, and
    is run once at a time, so that each end tells as much, and costs as few, as can be.
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
        return Barred(503, "ends_endpoints", text)
    if table.ends(arrived.fingerprint) < defaults.SUSPECT_ENDS:
        return None
    free_at = table.last_at(arrived.fingerprint) + defaults.SUSPECT_BACK_S
    free_at = max(free_at, table.tried_until(arrived.fingerprint))
    if free_at <= state.now:
        return None
    text = "endpoints ended twice while this request ran; it may be tried again in a while"
    return Barred(503, "suspected", text, free_at - state.now)


def check(state: NodeState, arrived: RequestArrived) -> Refuse | None:
    """Refuse a request that may not be sent; None where it may go on."""
    bar = find_bar(state, arrived)
    if bar is None:
        return None
    identity = arrived.request_id
    state.record(identity, f"refused {bar.reason}", bar.text)
    return Refuse(identity, bar.status, bar.reason, "not_run", bar.text, come_back(arrived, bar))


def come_back(arrived: RequestArrived, bar: Barred) -> float:
    """Give when a barred request may come back, spread by request; 0 where it is not to."""
    spread = mix("suspected", arrived.request_id) % 1000 / 1000.0
    return bar.after_s * (1.0 + spread)


def suspected(state: NodeState, request: RequestState) -> bool:
    """Say whether a request is run apart, where the least would be lost with it."""
    return state.suspects.ends(request.arrived.fingerprint) >= defaults.SUSPECT_ENDS


def begin_trial(state: NodeState, request: RequestState) -> Effects:
    """Tell all nodes that a suspect is being run."""
    if not suspected(state, request):
        return []
    trial = Trial(request.arrived.fingerprint, state.now + defaults.TRIAL_S)
    return _tell(state, Evidence(trials=(trial,)))


def note_broken(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    """Take that an endpoint broke off a request, which may be found to have ended.

    An endpoint that is leaving, or whose entry has gone, ends as planned. A cut of the way to
    it, a time-out or a refusal is no end; one that ended silently is none either, since a
    box without power takes many with it.
    """
    endpoint = state.endpoints.get(request.endpoint)
    fingerprint = request.arrived.fingerprint
    if not event.sent or event.said_not_run:
        # This node may try another endpoint; without it a suspect that met one that had ended
        # waited for another 2 s each time.
        state.suspects.end_trial(fingerprint)
    if endpoint is None or endpoint.leaving or endpoint.gone:
        return []
    life = Life(request.endpoint, request.born)
    effects: Effects = []
    if event.broken and fingerprint:
        sighting = _sight(state, request, life)
        effects += _tell(state, Evidence(tuple(state.suspects.note_broken(sighting))))
    if event.down:
        effects += _end(state, life)
    return effects


def note_left(state: NodeState, request: RequestState) -> None:
    """Remember a request that its caller left: the endpoint may be ending under it just now."""
    if request.arrived.fingerprint and request.running and request.sent:
        life = Life(request.endpoint, request.born)
        state.suspects.note_left(_sight(state, request, life))


def _sight(state: NodeState, request: RequestState, life: Life) -> Sighting:
    arrived = request.arrived
    answered_s = state.now - request.first_at if request.first_at is not None else 0.0
    young = answered_s < defaults.LONG_RUN_S
    return Sighting(arrived.fingerprint, arrived.team, life, state.now, young)


def note_ended(state: NodeState, view: EndpointView) -> Effects:
    """Take that the process known at an endpoint has ended, as another word tells."""
    if view.leaving:
        return []
    return _end(state, life_of(view))


def life_of(view: EndpointView) -> Life:
    """Name the process that is known at an endpoint: by its start, or else its incarnation."""
    report = view.report
    if report is None:
        return Life(view.name, 0)
    return Life(view.name, report.born or mix("life", report.incarnation) % BORN_MAX)


def _end(state: NodeState, life: Life) -> Effects:
    return _tell(state, Evidence(tuple(state.suspects.note_ended(life, state.now))))


def note_well(state: NodeState, request: RequestState) -> Effects:
    """Clear a request that ended well, where it was a suspect."""
    fingerprint = request.arrived.fingerprint
    if not state.suspects.known(fingerprint):
        return []
    return _tell(state, Evidence(cleared=(Cleared(fingerprint, state.now),)))


def _tell(state: NodeState, evidence: Evidence, source: str = "") -> Effects:
    """Merge evidence, and tell the other nodes what of it is news."""
    if evidence.empty():
        return []
    condemned = {one.fingerprint for one in state.suspects.verdicts(state.now)}
    news = state.suspects.take(evidence, state.now)
    found: Effects = [
        VerdictFound(
            one.fingerprint,
            one.organisation,
            tuple(life.endpoint for life in state.suspects.lives(one.fingerprint)),
            one.until - state.now,
        )
        for one in state.suspects.verdicts(state.now)
        if one.fingerprint not in condemned
    ]
    return found if news.empty() else [*found, ShareEvidence(news, source)]


@handles(EvidenceHeard)
def hear_evidence(state: NodeState, event: EvidenceHeard) -> Effects:
    """Take what another node saw; what is news goes on from here.

    What broke off here at a process of which another node says that it ended is told in turn.
    """
    effects = _tell(state, event.evidence, event.source)
    for life in {one.life for one in event.evidence.sightings}:
        effects += _end(state, life)
    return effects
