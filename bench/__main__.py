"""Command line: ``python -m bench NAME [options of the experiment]``."""

import importlib
import pathlib
import sys

from .registry import EXPERIMENTS

_NOT_EXPERIMENTS = {"__init__", "__main__", "registry", "traffic", "live"}


def main() -> int:
    """Import every experiment and run the one named on the command line."""
    for path in sorted(pathlib.Path(__file__).parent.glob("*.py")):
        if path.stem not in _NOT_EXPERIMENTS:
            importlib.import_module(f"bench.{path.stem}")
    if len(sys.argv) < 2 or sys.argv[1] not in EXPERIMENTS:
        names = ", ".join(sorted(EXPERIMENTS))
        print(f"NAME: expected one of {names}", file=sys.stderr)
        return 2
    return EXPERIMENTS[sys.argv[1]](sys.argv[2:])


sys.exit(main())
