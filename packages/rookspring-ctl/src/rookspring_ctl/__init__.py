"""Operator tool of rookspring."""
