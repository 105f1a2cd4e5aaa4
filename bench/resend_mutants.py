"""Mutants of the rule that a request is sent at most once on a connection."""

import typing as t

from rookspring import defaults as daemon_defaults
from rookspring.http_client import ClientConnection

from .mutant import RESENDS
from .mutant import Mutant

NO_BOUND = 1 << 40


def _never(*args: t.Any) -> bool:
    return False


def _always(*args: t.Any) -> bool:
    return True


MUTANTS = (
    Mutant(
        "sends a request again on its connection",
        "an answer belongs to one send of its request",
        ClientConnection,
        "has_carried",
        _never,
        RESENDS,
    ),
    Mutant(
        "keeps no connection for other requests",
        "connections are kept",
        ClientConnection,
        "has_carried",
        _always,
        RESENDS,
    ),
    Mutant(
        "remembers requests without end",
        "what a connection remembers is bounded",
        daemon_defaults,
        "CARRIED_REQUESTS_MAX",
        NO_BOUND,
        RESENDS,
    ),
)
