"""Rollout steps, inside entry processes."""
