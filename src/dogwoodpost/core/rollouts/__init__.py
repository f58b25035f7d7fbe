"""Rollout steps: scheduling, staleness bounds and batches of samples."""
