"""Worker processes of the measurements."""

from __future__ import annotations

import concurrent.futures
import multiprocessing


def open_workers(count: int) -> concurrent.futures.ProcessPoolExecutor:
    """Return a pool of fresh processes; nng doesn't survive a fork."""
    return concurrent.futures.ProcessPoolExecutor(
        count, mp_context=multiprocessing.get_context('spawn')
    )
