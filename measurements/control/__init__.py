"""Measures control work, mostly on virtual time."""
