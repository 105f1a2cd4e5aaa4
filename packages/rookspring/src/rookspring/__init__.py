"""The rookspring daemon: servers, clients, codecs and telemetry around the core.

Import from its modules: this package imports none of them, so that a relay node does not
load the product's own interface.
"""
