"""Collaborators of the requests of a pipeline."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from dogwoodpost.core.retries import RetryBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.retries import RetryPolicy
    from dogwoodpost.services.entry.attempt_context import AttemptContext
    from dogwoodpost.services.entry.hedger import Hedger
    from dogwoodpost.services.entry.request_queue import RequestQueue


@dataclass(frozen=True, kw_only=True)
class RequestContext:
    """What a request needs of its process.

    :param current_configuration: returns the configuration in force.
    """

    attempts: AttemptContext
    admission: Admission
    queue: RequestQueue
    hedger: Hedger
    rng: random.Random
    retry_policy: RetryPolicy
    current_configuration: Callable[[], Configuration]
    budgets: dict[ids.RouteName, RetryBudget] = field(default_factory=dict)

    def retry_budget(self, route: ids.RouteName) -> RetryBudget:
        """Return the budget that all retries of a route share."""
        budget = self.budgets.get(route)
        if budget is None:
            budget = self.budgets[route] = RetryBudget()
        return budget
