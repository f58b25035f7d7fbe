"""Small stand-ins of the outside systems."""
