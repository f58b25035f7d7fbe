"""Stand-ins for the external systems that Dogwoodpost calls."""
