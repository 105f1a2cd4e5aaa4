"""Command line: ``python -m bench NAME [options of the experiment]``."""

import importlib
import pathlib
import sys

from .registry import EXPERIMENTS

_OTHERS = {"__init__", "__main__", "registry", "traffic", "live"}


def main() -> int:
    """Load every experiment and run the one that is named."""
    for path in sorted(pathlib.Path(__file__).parent.glob("*.py")):
        if path.stem not in _OTHERS:
            importlib.import_module(f"bench.{path.stem}")
    if len(sys.argv) < 2 or sys.argv[1] not in EXPERIMENTS:
        names = ", ".join(sorted(EXPERIMENTS))
        print(f"NAME: one of {names} was expected", file=sys.stderr)
        return 2
    return EXPERIMENTS[sys.argv[1]](sys.argv[2:])


sys.exit(main())
