"""Rollout service for reinforcement learning."""
