"""Log lines: one line of key=value pairs for each event, each event declared here."""

import sys
import typing as t

from loguru import logger

EVENTS: dict[str, str] = {
    "node_started": "the node listens; it is ready once it has a revision",
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
    "peer_refused": "a node could not prove the shared key or speaks another version",
    "platform_down": "the platform does not answer",
    "platform_up": "the platform answers again",
    "request_refused": "a caller got an error",
    "stream_continued": "an answer goes on at another endpoint",
    "invariant_broken": "a promise does not hold; the process ends",
    "task_failed": "a background task failed and is started again",
    "settings_wrong": "the process did not start",
}


def configure(level: str = "INFO") -> None:
    """Send log lines to standard error.

    :param level: the least level that is written.
    """
    logger.remove()
    logger.add(sys.stderr, level=level, format="{message}", backtrace=False, diagnose=False)


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
