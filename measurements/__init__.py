"""Measurements of the decision core and of the processes."""
