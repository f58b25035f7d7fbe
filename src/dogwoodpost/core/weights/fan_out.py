"""Trees along which the hosts of a region distribute a weight version."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_FAN_OUT = 8


def ancestors(position: int, fan_out: int) -> list[int]:
    """Return the ancestors of a position in a complete tree, nearest first.

    Positions are numbered level by level, as in an array heap; the root is 0.
    """
    positions = []
    while position > 0:
        position = (position - 1) // fan_out
        positions.append(position)
    return positions


def depth(host_count: int, fan_out: int) -> int:
    """Return the number of hops from the root to the last host."""
    return len(ancestors(host_count - 1, fan_out)) if host_count else 0


def spread_s(
    host_count: int, fan_out: int, *, copy_s: float, hop_s: float
) -> float:
    """Return how long a version takes from the root to all hosts, in seconds.

    A host forwards data while it is still receiving, so only the fixed cost
    of a hop adds up with depth. Each host sends up to ``fan_out`` copies over
    its link.

    :param copy_s: time to send a single copy over a link, in seconds.
    :param hop_s: fixed cost of a hop, in seconds.
    """
    if host_count < 2:
        return 0.0
    copies = min(fan_out, host_count - 1)
    return copies * copy_s + depth(host_count, fan_out) * hop_s


def best_fan_out(host_count: int, *, copy_s: float, hop_s: float) -> int:
    """Return the fan-out with the shortest spread, up to ``MAX_FAN_OUT``."""
    return min(
        range(1, MAX_FAN_OUT + 1),
        key=lambda fan_out: spread_s(
            host_count, fan_out, copy_s=copy_s, hop_s=hop_s
        ),
    )


def fetch_sources(
    hosts: Sequence[str], position: int, fan_out: int
) -> tuple[str, ...]:
    """Return the hosts to fetch from: two nearest ancestors and the root.

    The parent comes first and the root last; later hosts are used when the
    earlier ones fail.
    """
    positions = ancestors(position, fan_out)
    chosen = (
        [*positions[:2], *positions[-1:]] if len(positions) > 2 else positions
    )
    return tuple(hosts[source] for source in chosen)
