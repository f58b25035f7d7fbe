"""Choice of endpoints."""
