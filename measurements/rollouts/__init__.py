"""Parts of the measurement of rollouts."""
