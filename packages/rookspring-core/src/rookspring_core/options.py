"""Optional decisions, which a deployment's configuration or settings call for.

Without them a node decides by the defaults. The platform's adapter sets them from the settings;
none depends on a deployment's name.
"""

import typing as t

from . import defaults


class DecisionOptions(t.NamedTuple):
    """Which optional decisions are in use.

    :param endpoint_speeds: learn how fast each endpoint of a service is, and decide by that.
    :param place_order: owner nodes order the requests that wait for a place at a model endpoint.
    :param model_waits: learn how long models that are on no endpoint take to arrive, and let
        requests wait by that.
    :param placement: name of the placement policy.
    """

    endpoint_speeds: bool = False
    place_order: bool = False
    model_waits: bool = False
    placement: str = defaults.RELAY_PLACEMENT
