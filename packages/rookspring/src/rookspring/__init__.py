"""The rookspring daemon: callers on one side, endpoints on the other."""

from .node import Node as Node
from .settings import Settings as Settings
