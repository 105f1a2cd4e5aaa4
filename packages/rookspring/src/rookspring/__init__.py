"""The rookspring daemon: servers, clients, codecs and telemetry round the core.

Import what is needed from its modules; a relay node loads none of the product's
own interface.
"""
