"""Load requests: sent to the lease holder for models or adapters that no endpoint holds."""

from . import control_jobs
from . import missing_models
from . import retry_after
from .effects import Effect
from .effects import RequestLoad
from .events import RequestArrived
from .state import NodeState


def emit_load_request(state: NodeState, event: RequestArrived) -> list[Effect]:
    """Send a load request if no endpoint that takes requests holds what a waiting request needs."""
    terms = event.route
    if terms is None or event.service or event.request_id not in state.requests:
        return []
    if state.requests[event.request_id].running:
        return []
    for view in state.hosts.get(event.target, {}).values():
        fits = view.service == terms.service and view.accepts_work(state.now)
        if fits and (not event.adapter or view.has_adapter(event.adapter)):
            return []
    request = state.requests[event.request_id]
    if event.adapter:
        state.adapter_waits.begin(event.adapter, state.now)
    back_s = missing_models.predict_back_s(state, event)
    if back_s is None:
        back_s = terms.max_wait_s
        # A caller that has come back has no further try.
        if not state.caller_times.is_return(terms.name, event.deadline_at - event.at):
            back_s += retry_after.predict_retry_after_s(state, request)
    asked = RequestLoad(terms.service, event.target, event.adapter, back_s)
    return [state.sent_load_requests.add(asked, state.now)]


def repeat_to_new_holder(state: NodeState) -> list[Effect]:
    """Ask a lease holder that has just begun for what this node's callers are due for."""
    peers = state.membership.peers.values()
    epoch = max((peer.heartbeat.lease_epoch for peer in peers), default=0)
    if control_jobs.holding(state):
        epoch = max(epoch, state.control.acting_epoch)
    return list(state.sent_load_requests.repeat(epoch, state.now))
