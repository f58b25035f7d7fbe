"""Row transactions that repeat until their outcome is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreRejectedError
from dogwoodpost.ports.row_store import applied_version

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowCheck
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import RowWrite

_INITIAL_MAX_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.4


async def commit_rows(
    store: RowStore,
    checks: Sequence[RowCheck],
    writes: Sequence[RowWrite],
    *,
    clock: Clock,
    rng: random.Random,
    deadline_s: float,
) -> int:
    """Commit, repeating until the outcome is known or the deadline has passed.

    The writes must set at least one checked row to a value that no other
    process writes. Otherwise a delayed first attempt could still be applied
    after a repeat.

    :param rng: source of the jitter of the pauses between attempts.
    :param deadline_s: monotonic time in seconds at which to stop repeating.
    :raises RowConflictError: another transaction changed a checked row first.
    :raises StoreOutcomeUnknownError: an attempt may still take effect.
    :raises StoreRejectedError: the store refuses the content.
    :raises StoreUnavailableError: no attempt has taken effect.
    """
    unknown_outcome: StoreOutcomeUnknownError | None = None
    max_pause_s = _INITIAL_MAX_PAUSE_S
    while True:
        try:
            return await store.commit(checks, writes)
        except RowConflictError as error:
            version = (
                applied_version(error.rows, writes)
                if unknown_outcome
                else None
            )
            if version is None:
                raise
            return version
        except StoreRejectedError:
            raise
        except StoreOutcomeUnknownError as error:
            unknown_outcome = error
            failure: StoreError = error
        except StoreError as error:
            failure = unknown_outcome or error
        pause_s = rng.uniform(0.0, max_pause_s)
        if clock.monotonic_s() + pause_s >= deadline_s:
            raise failure
        await clock.sleep(pause_s)
        max_pause_s = min(2 * max_pause_s, _MAX_PAUSE_S)
