"""Rollout steps: scheduling, staleness, batches."""
