"""Limits and fair queueing per client account."""
