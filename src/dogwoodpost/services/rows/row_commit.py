"""Transactions on rows whose outcome is known when they return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.ports.row_store import applied_version

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowCheck
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import RowWrite

_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.4


async def commit_rows(
    store: RowStore,
    checks: Sequence[RowCheck],
    writes: Sequence[RowWrite],
    *,
    clock: Clock,
    rng: random.Random,
    deadline_s: float,
) -> int:
    """Commit, repeating until the outcome is known or the time is over.

    At least one of the checked rows has to be written with a value that no
    other process writes, so that a late first try can't follow a repeat.

    :raises RowConflictError: another transaction came first.
    :raises StoreOutcomeUnknownError: some try may still take effect.
    :raises StoreUnavailableError: no try has taken effect.
    """
    unknown: StoreOutcomeUnknownError | None = None
    longest_pause_s = _FIRST_PAUSE_S
    while True:
        try:
            return await store.commit(checks, writes)
        except RowConflictError as error:
            version = applied_version(error.rows, writes) if unknown else None
            if version is None:
                raise
            return version
        except StoreOutcomeUnknownError as error:
            unknown = error
            failure: StoreError = error
        except StoreError as error:
            failure = unknown or error
        pause_s = rng.uniform(0.0, longest_pause_s)
        if clock.monotonic_s() + pause_s >= deadline_s:
            raise failure
        await clock.sleep(pause_s)
        longest_pause_s = min(2 * longest_pause_s, _LONGEST_PAUSE_S)
