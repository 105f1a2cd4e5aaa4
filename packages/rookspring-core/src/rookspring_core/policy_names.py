"""Names of the registered policies, which specs are checked against.

The registry is a module of its own, since the policies' modules import the specs and so can't be
imported by the module that defines them.
"""

REGISTERED: dict[str, list[str]] = {"routing": [], "placement": []}
