"""Log lines: one line of key=value pairs for each event, each event declared here."""

import os
import sys
import typing as t

from loguru import logger

from . import clock

EVENTS: dict[str, str] = {
    "node_started": "the node listens; it is ready once it has a revision",
    "stood_still": "the node did nothing for so long: frozen, suspended with its box, or too busy",
    "node_ready": "a revision is in force and callers may come",
    "node_draining": "a planned stop began",
    "node_stopped": "the planned stop is complete",
    "lease_acquired": "this node now controls endpoints and publishes",
    "revision_applied": "a newer accepted configuration is in force here",
    "published": "this node published a revision",
    "publish_failed": "a publication was not confirmed and is settled by reading",
    "order_sent": "an order left for an endpoint",
    "order_answered": "an endpoint answered an order, or did not",
    "peer_up": "a stream to another node is up",
    "peer_down": "a stream to another node ended",
    "peer_dropped": "a stream that is of use to neither end was ended",
    "peer_refused": "a node could not prove the shared key or speaks another version",
    "platform_down": "the platform does not answer",
    "platform_up": "the platform answers again",
    "request_refused": "a caller got an error",
    "stream_continued": "an answer goes on at another endpoint",
    "invariant_broken": "a promise does not hold; the process ends",
    "task_failed": "a background task failed and is started again",
    "settings_wrong": "the process did not start",
    "settings_reloaded": "the settings file changed or a signal said so; what changed is in force",
    "request_malformed": "a caller's request lacks what every request must have",
    "route_missing": "no route has the request's host and path, or no route table is known yet",
    "key_refused": "a request's key is unknown, or this node can't tell whether it holds yet",
    "proof_late": "a word on how new the configuration is was too long on its way",
    "allotment_denied": "an organisation's owner found a request beyond its allotment",
    "turn_denied": "an endpoint's owner had no turn for a request within its patience",
    "attempt_began": "a request leaves for an endpoint, chosen by these inputs",
    "endpoint_said": "the head of an answer tells something of its endpoint, not of the request",
    "attempt_failed": "an attempt ended without an answer that could be passed on",
    "request_ended": "a relayed request is over, with its outcome",
    "table_applied": "a newer route table is in force here",
    "table_malformed": "a configuration could not be read; the one in force stays",
    "endpoint_listed": "an endpoint appeared or its entry changed",
    "endpoint_gone": "an endpoint's entry is gone",
    "endpoint_malformed": "an endpoint's entry could not be read and is left out",
    "object_malformed": "an object of the platform's store could not be read and is left out",
    "effect_failed": "what a decision asked for could not be done; the other effects were",
    "decided": "the lease holder wants something of an endpoint, or cannot have it, and why",
    "want_declined": "nothing is ordered now for an adapter that requests wait for, and why",
    "want_ended": "an adapter that requests waited for is attached, or nobody asks any more",
    "adapter_left": "an adapter is unloaded; how long it stayed, and whether it was used",
    "report_failed": "an endpoint's own report could not be read",
    "store_era": "the store came back from a copy, or named its era for the first time",
    "store_era_malformed": "an answer of the platform's store named an era that is no figure",
    "entry_passed_over": "an endpoint's entry changed nothing, as another one is taken to be newer",
    "store_call_failed": "a read of the platform's store failed and is tried again",
    "verdict": "a request was found to end the endpoints that run it, and is refused for a while",
    "lines_dropped": "so many lines were left out to keep the volume bounded",
}


# Lines a second of the events in BOUNDED. A request has about three; a node of the
# larger deployment takes some 20 requests a second, and six times as many in a burst.
LINES_PER_S = 400.0
BOUNDED = (
    "event=attempt_",
    "event=endpoint_said",
    "event=request_",
    "event=route_missing",
    "event=key_refused",
    "event=allotment_denied",
    "event=turn_denied",
    "event=want_",
    "event=adapter_left",
    "event=object_malformed",
    "event=endpoint_malformed",
)


def configure(level: str = "INFO") -> None:
    """Send log lines to standard error.

    :param level: the least level that is written.
    """
    logger.remove()
    logger.add(sys.stderr, level=level, format="{message}", backtrace=False, diagnose=False)


class BoundedOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines of requests are bounded to ``LINES_PER_S``, with a burst of as many; lines
    that warn, and those of the node's own life, always pass. What cannot be written
    at once is dropped. A line with the count follows as soon as one passes.
    """

    def __init__(self, descriptor: int, lines_per_s: float = LINES_PER_S) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._level = lines_per_s
        self._at = clock.now()
        self._dropped = 0

    def write(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        if line.startswith(BOUNDED) and not self._allowed():
            self._dropped += 1
            return
        if self._dropped:
            line = f"event=lines_dropped level=warning count={self._dropped}\n{line}"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            # The reader is slow or gone; requests must not wait for it.
            self._dropped += 1
            return
        self._dropped = 0

    def _allowed(self) -> bool:
        now = clock.now()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def configure_bounded(descriptor: int, level: str = "INFO") -> None:
    """Send log lines to a descriptor, bounded and without blocking."""
    logger.remove()
    output = BoundedOutput(descriptor)
    logger.add(output.write, level=level, format="{message}", backtrace=False, diagnose=False)


def _quote(value: t.Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(letter in text for letter in ' "=\n\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def log(event: str, level: str = "INFO", **fields: t.Any) -> None:
    """Write one event.

    :param event: a name declared in :data:`EVENTS`.
    :raises KeyError: for a name that is not declared.
    """
    if event not in EVENTS:
        raise KeyError(f"log event {event!r} is not declared")
    pairs = " ".join(f"{key}={_quote(value)}" for key, value in fields.items())
    logger.opt(depth=1).log(level, "{}", f"event={event} level={level.lower()} {pairs}".rstrip())
