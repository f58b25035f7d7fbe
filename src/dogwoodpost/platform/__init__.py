"""Runs dogwoodpost on its users' platform.

The names of the platform stand in this package only.
"""
