"""The policy in force."""

from __future__ import annotations

from dogwoodpost.core.policy.policy import Policy


class PolicyHolder:
    """Gives all mechanisms the policy in force.

    They ask for it at each decision, so that a change takes effect at once.
    """

    def __init__(self, policy: Policy | None = None) -> None:
        self._policy = policy or Policy()

    def current(self) -> Policy:
        """Return the policy in force."""
        return self._policy

    def replace(self, policy: Policy) -> None:
        """Put another policy in force."""
        self._policy = policy
