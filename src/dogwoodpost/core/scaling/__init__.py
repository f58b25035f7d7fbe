"""Endpoint counts from forecast and load."""
