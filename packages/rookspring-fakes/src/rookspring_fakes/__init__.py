"""Test doubles of the platform, runners, plain services and callers, with fault injection."""

from . import open_bodies as open_bodies
from .caller import Caller as Caller
from .engine import Engine as Engine
from .engine import WeightStore as WeightStore
from .event_shapes import SHAPES as SHAPES
from .faults import Faults as Faults
from .model_server import ModelServer as ModelServer
from .object_platform import ObjectPlatform as ObjectPlatform
from .platform import Platform as Platform
from .runner import Runner as Runner
from .service import Ledger as Ledger
from .service import PlainService as PlainService
from .serving import serve as serve
from .store import ObjectStore as ObjectStore
from .users import SIZES as SIZES
from .users import USERS as USERS
