"""Presence of the system's own processes."""
