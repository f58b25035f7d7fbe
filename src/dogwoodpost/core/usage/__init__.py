"""Usage totals and windows."""
