"""Abstract interfaces between the core and external systems."""
