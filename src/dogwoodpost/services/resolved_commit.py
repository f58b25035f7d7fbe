"""Table store commits that repeat until their outcome is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.ports.table_store import Write

_INITIAL_MAX_PAUSE_S = 0.1
# Shorter than the grace period of usage windows, so that all entries have
# written their totals before the first window after an outage is closed.
_MAX_PAUSE_S = 4.0


async def commit_until_resolved(
    store: TableStore,
    operation_id: ids.OperationId,
    checks: Sequence[Check],
    writes: Sequence[Write],
    *,
    clock: Clock,
    rng: random.Random,
    before_attempt: Callable[[], object] = lambda: None,
) -> dict[str, int]:
    """Commit, repeating under the same operation id until the result is known.

    Pauses between attempts have full jitter.

    :param before_attempt: called before each attempt. It may raise to stop
        repeating; the outcome is then unknown.
    :raises StoreConflictError: a check failed; nothing changed.
    """
    max_pause_s = _INITIAL_MAX_PAUSE_S
    while True:
        before_attempt()
        try:
            return await store.commit(operation_id, checks, writes)
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            await clock.sleep(rng.uniform(0.0, max_pause_s))
            max_pause_s = min(2 * max_pause_s, _MAX_PAUSE_S)
