"""Measurements of control work on virtual time."""
