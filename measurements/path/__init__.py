"""Real processes on loopback, and load on them."""
