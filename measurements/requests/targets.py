"""Acceptance targets of the measurement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from measurements.requests.case import CASES

if TYPE_CHECKING:
    from measurements.requests.runner import Result

_MIN_FAIR_SHARE = 0.9
_MIN_HIT_SHARE = 0.9
_MAX_AMPLIFICATION = 1.1
_POLICY = 'dogwoodpost'


def missed_targets(results: list[Result]) -> list[str]:
    """Return one line for each target that a case of a user misses."""
    missed = []
    for result in results:
        if result.policy == _POLICY:
            baselines = [
                other
                for other in results
                if other.policy != _POLICY
                and (other.user, other.case) == (result.user, result.case)
            ]
            place = f'{result.user}, {result.case}: '
            missed += [place + line for line in _check(result, baselines)]
    return missed


def _check(result: Result, baselines: list[Result]) -> list[str]:
    lines = []
    if result.case == 'overload' and result.goodput_share < _MIN_FAIR_SHARE:
        lines.append(
            f'fair share {result.goodput_share:.3f} < {_MIN_FAIR_SHARE}'
        )
    hit_share = result.hit_rate / result.best_hit_rate
    if hit_share < _MIN_HIT_SHARE:
        lines.append(f'hit share {hit_share:.3f} < {_MIN_HIT_SHARE}')
    if result.amplification > _MAX_AMPLIFICATION:
        lines.append(
            f'amplification {result.amplification:.3f} > {_MAX_AMPLIFICATION}'
        )
    if any(case.faulty for case in CASES if case.name == result.case):
        for field in ('p99_wait_s', 'plain_p99_wait_s'):
            own = getattr(result, field)
            best = min(getattr(other, field) for other in baselines)
            if own > best:
                lines.append(f'{field} {own:.3f} > {best:.3f}')
    return lines
