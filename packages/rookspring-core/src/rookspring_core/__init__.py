"""Decision logic of rookspring: no I/O, no clock and no randomness of its own."""

from . import admitting as admitting
from . import close_handlers as close_handlers
from . import cluster as cluster
from . import control_jobs as control_jobs
from . import notice_handlers as notice_handlers
from . import ordering as ordering
from . import progress as progress
from . import recovering as recovering
from . import requests as requests
from . import run_copies as run_copies
from .catalogue import Catalogue as Catalogue
from .catalogue import Entry as Entry
from .exceptions import CoreError as CoreError
from .exceptions import InvariantBroken as InvariantBroken
from .exceptions import ResourceInvalid as ResourceInvalid
from .exceptions import RookspringError as RookspringError
from .reducer import reduce as reduce
from .resources import Resource as Resource
from .resources import check_resource as check_resource
from .state import Identity as Identity
from .state import NodeState as NodeState
