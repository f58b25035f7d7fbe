"""Endpoint orders under a lease."""
