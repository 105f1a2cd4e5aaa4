"""What a node knows of endpoints' speeds besides ``EndpointView.speed`` itself."""

from .speed_samples import SampleTable


class SpeedTable:
    """Samples of all nodes, and when speeds were computed, confirmed, changed and logged."""

    def __init__(self) -> None:
        self.samples = SampleTable()
        # When the speeds are computed next.
        self.next_fit_at = -1e9
        # When each endpoint's speed was last computed or received, and when it last changed.
        self.confirmed_at: dict[str, float] = {}
        self.changed_at: dict[str, float] = {}
        # The speed of each endpoint that was logged last.
        self.logged: dict[str, float] = {}
        # Number of the first row of speeds that followers are sent next.
        self.shared_from = 0

    def forget_endpoint(self, endpoint: str, now: float) -> None:
        """Drop what is known of an endpoint that was restarted."""
        self.samples.forget_endpoint(endpoint, now)
        self.confirmed_at.pop(endpoint, None)
        self.changed_at.pop(endpoint, None)
        self.logged.pop(endpoint, None)
