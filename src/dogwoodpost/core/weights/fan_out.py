"""Trees over which the hosts of a region pass on a weight version."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_FAN_OUT = 8


def parents(position: int, fan_out: int) -> list[int]:
    """Return the positions above one in a heap-shaped tree, nearest first."""
    above = []
    while position > 0:
        position = (position - 1) // fan_out
        above.append(position)
    return above


def depth(host_count: int, fan_out: int) -> int:
    """Return the number of hops to the last host; the root is at 0."""
    return len(parents(host_count - 1, fan_out)) if host_count else 0


def spread_s(
    host_count: int, fan_out: int, *, copy_s: float, hop_s: float
) -> float:
    """Return how long a version takes from the root to all hosts.

    A host passes on what it has received so far, so only the fixed cost of a
    hop, ``hop_s``, adds up with depth. A host sends ``fan_out`` copies over
    its link, of which one alone takes ``copy_s``.
    """
    if host_count < 2:
        return 0.0
    copies = min(fan_out, host_count - 1)
    return copies * copy_s + depth(host_count, fan_out) * hop_s


def best_fan_out(host_count: int, *, copy_s: float, hop_s: float) -> int:
    """Return the fan-out with the shortest spread."""
    return min(
        range(1, MAX_FAN_OUT + 1),
        key=lambda fan_out: spread_s(
            host_count, fan_out, copy_s=copy_s, hop_s=hop_s
        ),
    )


def fetch_sources(
    hosts: Sequence[str], position: int, fan_out: int
) -> tuple[str, ...]:
    """Return the hosts to fetch from, the parent first and the root last.

    The hosts further up are used when the nearer ones fail.
    """
    above = parents(position, fan_out)
    chosen = [*above[:2], *above[-1:]] if len(above) > 2 else above
    return tuple(hosts[place] for place in chosen)
