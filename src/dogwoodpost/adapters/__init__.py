"""Adapters of the ports to libraries and protocols."""
