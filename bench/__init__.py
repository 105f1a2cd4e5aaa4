"""Experiments; each prints its measurements as a table and writes them to a JSON file."""
