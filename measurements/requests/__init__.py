"""Simulation that measures the request policy."""
