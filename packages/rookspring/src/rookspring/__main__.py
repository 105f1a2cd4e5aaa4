"""Runs the command line: ``python -m rookspring``."""

from .cli import main

main()
