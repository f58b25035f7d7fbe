"""Implementations of the ports with libraries and protocols."""
