"""Liveness of the system's processes."""
