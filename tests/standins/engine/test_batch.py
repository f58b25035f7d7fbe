"""Tests of batching, prefix cache and cache events without a network."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core.routing import BLOCK_BYTES
from dogwoodpost.core.routing import prefix_hashes
from dogwoodpost.standins.engine.batch import Batch
from dogwoodpost.standins.engine.cache_event_log import CacheEventLog
from dogwoodpost.standins.engine.completion_request import read_completion
from dogwoodpost.standins.engine.faults import EngineFaults
from dogwoodpost.standins.engine.generation import Generation
from dogwoodpost.standins.engine.kv_store import make_kv_export
from dogwoodpost.standins.engine.prefix_cache import PrefixCache
from dogwoodpost.standins.engine.settings import EngineSettings
from dogwoodpost.standins.engine.token_chain import completion_text

LONG_PROMPT = 'word ' * (3 * BLOCK_BYTES // 5 + 10)


def make_batch(**settings: object) -> tuple[Batch, PrefixCache]:
    values = EngineSettings(**settings)  # type: ignore[arg-type]
    cache = PrefixCache(values.cache_block_count, 100, EngineFaults())
    return Batch(values, cache), cache


def add(
    batch: Batch, prompt: str, max_tokens: int = 100, **body: object
) -> Generation:
    document = {'prompt': prompt, 'max_tokens': max_tokens, **body}
    request = read_completion(
        msgspec.json.encode(document), is_chat=False, request_id=prompt
    )
    generation = Generation(request, max_tokens)
    batch.add(generation)
    return generation


@pytest.mark.parametrize('count', [1, 2, 5])
def test_running_requests_share_the_token_rate(count: int) -> None:
    """Guards against an engine whose total token rate grows with the load."""
    batch, _ = make_batch()
    generations = [add(batch, f'prompt {index}') for index in range(count)]
    # One work token processes the short prompt of a request; each further
    # one generates a token.
    batch.advance(11.0 * count)
    assert [len(item.tokens) for item in generations] == [10] * count


@pytest.mark.parametrize(
    ('priorities', 'order'),
    [((0, 0, 0), (0, 1, 2)), ((0, -1, 5), (0, 2, 1))],
    ids=['arrival', 'priority'],
)
def test_waiting_requests_are_admitted_by_priority(
    priorities: tuple[int, ...], order: tuple[int, ...]
) -> None:
    """Guards against samples that are admitted before callers' requests."""
    batch, _ = make_batch(max_running_count=1)
    waiting = {
        index: add(batch, f'p{index}', 2, priority=priority)
        for index, priority in enumerate(priorities)
    }
    finished: list[int] = []
    while waiting:
        batch.advance(1.0)
        for index in [
            key for key, item in waiting.items() if item.is_finished
        ]:
            finished.append(index)
            del waiting[index]
    assert tuple(finished) == order


@pytest.mark.parametrize(
    ('prompt', 'cached_blocks'),
    [
        (LONG_PROMPT, 3),
        (LONG_PROMPT + ' and more', 3),
        (LONG_PROMPT[: 2 * BLOCK_BYTES], 2),
        ('x' + LONG_PROMPT, 0),
        ('short', 0),
    ],
    ids=['same', 'longer', 'shorter', 'other start', 'less than a block'],
)
def test_prefix_hits_are_counted_as_cached_tokens(
    prompt: str, cached_blocks: int
) -> None:
    """Guards against wrong cached_tokens, from which hit rates are computed.

    Blocks must have the hashes that the router computes.
    """
    batch, cache = make_batch()
    first = add(batch, LONG_PROMPT, 1)
    batch.advance(1_000.0)
    assert first.is_finished
    assert first.cached_tokens == 0
    assert cache.matched_count(prefix_hashes(LONG_PROMPT.encode())) == 3
    second = add(batch, prompt, 1)
    cached = prompt[: cached_blocks * BLOCK_BYTES].split()
    assert second.cached_tokens == min(len(cached), len(prompt.split()) - 1)


def test_segments_have_the_weight_version_of_each_token() -> None:
    """Guards against tokens labelled with the wrong weight version.

    Blocks that two weight versions computed must not be cached or exported.
    """
    batch, cache = make_batch()
    generation = add(batch, LONG_PROMPT, 6)
    while len(generation.tokens) < 2:
        batch.advance(1.0)
    cache.clear()
    batch.weight_version = 7
    batch.advance(100.0)
    segments = [
        (item.weight_version, item.token_count)
        for item in generation.segments()
    ]
    assert segments == [(1, 2), (7, 4)]
    assert len(cache) == 0
    assert make_kv_export(generation, 7).hashes == ()


@pytest.mark.parametrize('cut', [0, 1, 4])
def test_resumed_completion_yields_the_same_text(cut: int) -> None:
    """Guards against a resumption that repeats or skips tokens."""
    full_text = completion_text('a prompt', 6)
    partial = completion_text('a prompt', cut)
    batch, _ = make_batch()
    resumed = add(batch, 'a prompt', 6 - cut, resume_text=partial)
    batch.advance(20.0)
    assert partial + resumed.text == full_text


def test_cache_evicts_the_end_of_the_oldest_chain() -> None:
    """Guards against unbounded memory and chains without a first block."""
    cache = PrefixCache(4, 100, EngineFaults())
    cache.store((1, 2, 3))
    cache.store((7, 8))
    assert len(cache) == 4
    assert cache.matched_count((1, 2, 3)) == 2
    cache.store((1, 2, 3, 4, 5, 6))
    assert cache.matched_count((1, 2, 3, 4, 5, 6)) == 4


def replay(log: CacheEventLog, snapshot: tuple[int, ...]) -> set[int]:
    """Read a log from its start and apply its events, as an agent does."""
    blocks: set[int] = set()
    after = 0
    while True:
        page = log.page(after, snapshot)
        if page.cleared:
            blocks.clear()
        elif page.last_sequence == after:
            return blocks
        blocks.update(page.stored)
        blocks.difference_update(page.evicted)
        after = page.last_sequence


@pytest.mark.parametrize('max_count', [3, 100])
def test_applying_pages_yields_the_cached_blocks(max_count: int) -> None:
    """Guards against events that leave a reader with the wrong blocks."""
    log = CacheEventLog(max_count)
    cached: set[int] = set()
    for step in range(41):
        block = step * step % 5
        is_stored = block not in cached
        log.append(block, is_stored=is_stored)
        cached ^= {block}
    assert replay(log, tuple(cached)) == cached


@pytest.mark.parametrize(
    ('after', 'first', 'stored', 'cleared'),
    [
        (0, 1, (10,), False),
        (1, 4, (40,), False),
        (3, 4, (40,), False),
        (5, 5, (10, 30, 20, 40), True),
    ],
    ids=['before the gap', 'gap', 'inside the gap', 'from the future'],
)
def test_lost_events_leave_a_gap_in_the_sequence(
    after: int, first: int, stored: tuple[int, ...], cleared: bool
) -> None:
    """Guards against lost events that a reader cannot detect."""
    cache = PrefixCache(10, 10, EngineFaults())
    cache.store((10,))
    cache.faults = EngineFaults(drop_cache_event_count=2)
    cache.store((20, 30))
    cache.store((40,))
    page = cache.events(after)
    assert (page.first_sequence, page.cleared) == (first, cleared)
    assert page.stored == stored
