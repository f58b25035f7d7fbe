"""Decision core: pure functions and state without I/O."""
