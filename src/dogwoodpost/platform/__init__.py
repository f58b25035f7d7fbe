"""Runs dogwoodpost on its users' platform; the only place with its names."""
