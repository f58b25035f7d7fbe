"""Starts real processes on loopback and puts load on them."""
