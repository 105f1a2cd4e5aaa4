"""Functions that carry out each effect in the simulation, with latency and faults."""

from . import order_effects as order_effects
from . import platform_effects as platform_effects
from . import request_effects as request_effects
from .effect_registry import EFFECT_HANDLERS as EFFECT_HANDLERS
from .effect_registry import pack as pack
from .effect_registry import perform as perform
from .effect_registry import unpack as unpack
from .request_effects import break_stream as break_stream
from .request_effects import make_report as make_report
