"""Names of the policies that modules have registered, for checks of what asks for one.

Specs are checked against it, so that the modules of the policies, which need the
specs, are not imported by the module that declares them.
"""

NAMES: dict[str, list[str]] = {"routing": [], "placement": []}
