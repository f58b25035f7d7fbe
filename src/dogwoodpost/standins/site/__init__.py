"""Stand-ins for the users' platform, served on the loopback address."""
