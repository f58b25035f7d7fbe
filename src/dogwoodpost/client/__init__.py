"""Python library for trainers."""
