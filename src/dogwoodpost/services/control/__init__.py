"""Control work that a process does while it holds a lease."""
