"""Rollout of weight versions."""
