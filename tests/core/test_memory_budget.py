"""Tests of the memory that parts of a process share."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.core.memory_budget import MemoryReservation
from dogwoodpost.errors import MemoryExceededError


def test_parts_share_the_limit_of_the_whole() -> None:
    """Guards against parts that together exceed the memory of a process."""
    budget = MemoryBudget(100)
    bodies = budget.part(60)
    with budget.reservation() as job, bodies.reservation() as body:
        job.grow(50)
        with pytest.raises(MemoryExceededError):
            body.grow(51)
        body.grow(50)
        with pytest.raises(MemoryExceededError):
            body.grow(1)
        job.resize(20)
        body.grow(10)
        with pytest.raises(MemoryExceededError):
            body.grow(1)
        assert (budget.used_bytes, bodies.used_bytes) == (80, 60)
    assert (budget.used_bytes, bodies.used_bytes) == (0, 0)


def test_memory_that_is_moved_outlives_its_reservation() -> None:
    """Guards against a running job whose memory counts as free."""
    budget = MemoryBudget(100)
    with budget.reservation() as submission:
        submission.grow(70)
        run = submission.moved()
    assert budget.used_bytes == 70
    run.release()
    run.release()
    assert budget.used_bytes == 0


def test_caches_give_way_to_other_uses() -> None:
    """Guards against work that is refused while caches hold memory."""
    budget = MemoryBudget(100)
    cached = [MemoryReservation(budget.part(60)) for _ in range(3)]
    for one in cached:
        one.grow(20)

    def drop_oldest(missing_bytes: int) -> None:
        while cached and missing_bytes > 0:
            missing_bytes -= cached[0].size_bytes
            cached.pop(0).release()

    budget.add_reclaimer(drop_oldest)
    with budget.reservation() as work:
        work.grow(50)
        assert len(cached) == 2
        work.grow(50)
        assert not cached
        with pytest.raises(MemoryExceededError):
            work.grow(1)
        assert work.size_bytes == 100


@given(sizes=st.lists(st.integers(0, 60), max_size=20))
def test_refused_growth_changes_nothing(sizes: list[int]) -> None:
    """Guards against memory that is counted without being used."""
    budget = MemoryBudget(200)
    part = budget.part(100)
    with part.reservation() as first, budget.reservation() as second:
        for number, size_bytes in enumerate(sizes):
            reservation = (first, second)[number % 2]
            before = (budget.used_bytes, part.used_bytes)
            try:
                reservation.grow(size_bytes)
            except MemoryExceededError:
                assert (budget.used_bytes, part.used_bytes) == before
        assert part.used_bytes == first.size_bytes <= 100
        total_bytes = first.size_bytes + second.size_bytes
        assert budget.used_bytes == total_bytes <= 200
    assert budget.used_bytes == part.used_bytes == 0
