"""Scheduling of rollout steps and hand-over of samples."""
