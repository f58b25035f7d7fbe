"""Messages between own processes over pynng."""
