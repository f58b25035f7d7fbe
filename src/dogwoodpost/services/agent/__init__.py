"""The agent process."""
