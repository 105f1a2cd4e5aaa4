"""Functions that perform each effect in the simulation, with latency and faults."""

from . import order_effects as order_effects
from . import platform_effects as platform_effects
from . import request_effects as request_effects
from .carrying import PERFORMERS as PERFORMERS
from .carrying import pack as pack
from .carrying import perform as perform
from .carrying import unpack as unpack
from .request_effects import break_stream as break_stream
from .request_effects import report_of as report_of
