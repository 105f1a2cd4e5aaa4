"""What this node has asked of the lease holder, for callers who wait or are to come back.

A holder keeps load requests in its memory alone. To the next one nobody seems to be due, and it
gives the room that was freed for these callers to others; so it is asked again.
"""

from .effects import RequestLoad

# Service, model and adapter that were asked for.
Key = tuple[str, str, str]


class SentLoadRequests:
    """The load requests that callers of this node are due for, by what was asked for."""

    def __init__(self) -> None:
        # When the last caller will have come back.
        self._back_by: dict[Key, float] = {}
        self._epoch = 0

    def add(self, request: RequestLoad, now: float) -> RequestLoad:
        """Remember a load request that is sent, and return it."""
        key = (request.service, request.model, request.adapter)
        if key not in self._back_by:
            self._back_by = {one: at for one, at in self._back_by.items() if at > now}
        self._back_by[key] = max(now + request.latest_retry_s, self._back_by.get(key, now))
        return request

    def repeat(self, epoch: int, now: float) -> list[RequestLoad]:
        """Return what to ask of the lease holder again, if it is a new one.

        :param epoch: newest epoch of the lease that a node says it holds; 0 if none does.
        """
        if epoch <= self._epoch:
            return []
        self._epoch = epoch
        return [RequestLoad(*key, at - now) for key, at in self._back_by.items() if at > now]
