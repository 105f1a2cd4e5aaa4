"""The software versions that serve, and the versions that began streams, as a node knows them.

:mod:`stream_origins` decides by them.
"""

import collections
import math
import typing as t

from . import defaults


class StreamOrigin(t.NamedTuple):
    """The version that began a stream.

    :param stream: id of the request whose answer brings its first event.
    :param kept_s: how much longer its caller may take it up again, in seconds.
    """

    stream: str
    version: str
    kept_s: float


class StreamVersions:
    """The versions that serve or have served lately, by service, and the origins of streams."""

    def __init__(self) -> None:
        # The origins by stream, each with the time until which it is kept; the latest at the end.
        self._origins: collections.OrderedDict[str, tuple[str, float]] = collections.OrderedDict()
        self._serving: dict[str, set[str]] = {}
        # The versions that serve no more, with the time since.
        self._former: dict[str, dict[str, float]] = {}
        # Until when services count as those of several versions that others have told of.
        self._told: dict[str, float] = {}
        # Whether it is known which services had several before this node started, and when that
        # mattered for a service while it wasn't.
        self.former_known = False
        self._doubted: dict[str, float] = {}

    def set_serving(self, serving: dict[str, set[str]], now: float) -> set[str]:
        """Set the versions that serve now, by service.

        :return: the services that have several from now on.
        """
        before = {service for service in serving if self.has_several(service, now)}
        for service, versions in self._serving.items():
            former = self._former.setdefault(service, {})
            for version in versions - serving.get(service, set()):
                former[version] = now
        self._serving = serving
        return {service for service in serving if self.has_several(service, now)} - before

    def note_several(self, service: str, now: float) -> None:
        """Note that another node knows of versions that this one has not seen."""
        self._told[service] = now + defaults.STREAM_KEPT_S

    def doubt(self, service: str, now: float) -> None:
        """Count a service as one of several versions until it is known what served before."""
        if not self.former_known:
            self._doubted[service] = now

    def restore(self, left: t.Iterable[tuple[str, float]], now: float) -> None:
        """Restore which services had several versions before this node started, once.

        :param left: services, each with the time for which that counts, in seconds.
        """
        if self.former_known:
            return
        self.former_known = True
        self._doubted.clear()
        for service, left_s in left:
            self._told[service] = max(now + left_s, self._told.get(service, now))

    def several_left(self, now: float) -> dict[str, float]:
        """Return the services that have or had several versions, and how long that counts."""
        return {
            service: self._left_s(service, now)
            for service in {*self._serving, *self._former, *self._told}
            if self._had_several(service, now)
        }

    def _left_s(self, service: str, now: float) -> float:
        if len(self._serving.get(service, set())) > 1:
            return defaults.STREAM_KEPT_S
        since = max(self._former.get(service, {}).values(), default=-math.inf)
        return max(since + defaults.STREAM_KEPT_S, self._told.get(service, now)) - now

    def has_several(self, service: str, now: float) -> bool:
        """Return whether several versions serve, or did so while a stream may still be resumed."""
        return service in self._doubted or self._had_several(service, now)

    def _had_several(self, service: str, now: float) -> bool:
        if self._told.get(service, now) > now:
            return True
        oldest = now - defaults.STREAM_KEPT_S
        former = self._former.get(service, {})
        lately = {version for version, since in former.items() if since > oldest}
        return len(self._serving.get(service, set()) | lately) > 1

    def keep(self, origin: StreamOrigin, now: float) -> None:
        """Keep the origin of a stream; what was told last counts."""
        self._origins.pop(origin.stream, None)
        self._origins[origin.stream] = (origin.version, now + origin.kept_s)
        while len(self._origins) > defaults.STREAM_ORIGINS_MAX:
            self._origins.popitem(last=False)

    def find(self, stream: str, now: float) -> str | None:
        """Return the version that began a stream; None if this node doesn't know it."""
        version, until = self._origins.get(stream, (None, now))
        return version if until > now else None

    def tick(self, now: float) -> None:
        """Forget the origins and the former versions that are over."""
        while self._origins and next(iter(self._origins.values()))[1] <= now:
            self._origins.popitem(last=False)
        oldest = now - defaults.STREAM_KEPT_S
        self._told = {name: until for name, until in self._told.items() if until > now}
        self._doubted = {name: since for name, since in self._doubted.items() if since > oldest}
        for service, former in list(self._former.items()):
            kept = {version: since for version, since in former.items() if since > oldest}
            if kept:
                self._former[service] = kept
            else:
                del self._former[service]
