"""Which era the platform's store is in: how often it has come back from an older copy."""

from .logs import log


class StoreEras:
    """The newest era that this node knows of."""

    def __init__(self) -> None:
        self.current = 0

    def hear(self, era: int, source: str) -> None:
        """Take an era that an answer or another node names; an older one changes nothing."""
        if era <= self.current:
            return
        log("store_era", era=era, before=self.current, source=source)
        self.current = era
