"""Parts of the measurement of the request policy."""
