"""Stand-ins of the users' platform, speaking its protocol on loopback."""
