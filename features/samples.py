"""Samples of events that several steps share."""

from rookspring_core.events import EndpointReported


def report(endpoint, at=0.0, **fields):
    base = EndpointReported(at, endpoint, "1", 0.0, 16, 0, 0, 800.0, 100.0, 100.0)
    return base._replace(**fields)
