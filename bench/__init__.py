"""Experiments: each prints a table of what it measured and keeps it as JSON."""
