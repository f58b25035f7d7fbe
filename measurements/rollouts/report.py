"""Compares a case with the baseline, the lower bound and the targets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from measurements.rollouts.lower_bound import fair_share_ends
from measurements.rollouts.workload import Case
from measurements.rollouts.workload import Workload

if TYPE_CHECKING:
    from measurements.rollouts.simulation import Outcome

MAX_WASTE_SHARE = 0.10
MAX_IDLE_RATIO = 2 / 3


class CaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one case over all seeds.

    Ratios are step times divided by the lower bound of the same step:
    ``shared`` divides the capacity among the steps that are open, ``alone``
    gives all of it to the step.
    """

    case: Case
    step_count: int
    p50_s: float
    p99_s: float
    p50_ratio_shared: float
    p99_ratio_shared: float
    p99_ratio_alone: float
    fifo_p99_ratio_shared: float
    fifo_p99_ratio_alone: float
    waste_share: float
    fifo_waste_share: float
    prefill_again_share: float
    idle_ratio: float
    lost_count: int
    duplicate_count: int
    over_bound_count: int
    mislabelled_count: int
    table_writes_per_step: float
    discarded: dict[str, int]


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that covers a share of all values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summarize(
    case: Case, chosen: list[Outcome], fifo: list[Outcome]
) -> CaseReport:
    """Return the figures of a case."""
    times = [run.duration_s for item in chosen for run in item.runs]
    fifo_times = [run.duration_s for item in fifo for run in item.runs]
    shared, alone = _ratios(chosen)
    fifo_shared, fifo_alone = _ratios(fifo)
    discarded: dict[str, int] = {}
    for item in chosen:
        for reason, count in item.discarded.items():
            discarded[reason] = discarded.get(reason, 0) + count
    writes = sum(item.table_write_count for item in chosen)
    generated = sum(item.generated_tokens for item in chosen)
    return CaseReport(
        case=case,
        step_count=len(times),
        p50_s=percentile(times, 0.5),
        p99_s=percentile(times, 0.99),
        p50_ratio_shared=percentile(shared, 0.5),
        p99_ratio_shared=percentile(shared, 0.99),
        p99_ratio_alone=percentile(alone, 0.99),
        fifo_p99_ratio_shared=percentile(fifo_shared, 0.99),
        fifo_p99_ratio_alone=percentile(fifo_alone, 0.99),
        waste_share=_waste(chosen),
        fifo_waste_share=_waste(fifo),
        prefill_again_share=sum(item.resumed_tokens for item in chosen)
        / generated,
        idle_ratio=sum(times) / sum(fifo_times),
        lost_count=sum(item.lost_count for item in chosen),
        duplicate_count=sum(item.duplicate_count for item in chosen),
        over_bound_count=sum(item.over_bound_count for item in chosen),
        mislabelled_count=sum(item.mislabelled_count for item in chosen),
        table_writes_per_step=writes / len(times),
        discarded=discarded,
    )


def _ratios(outcomes: list[Outcome]) -> tuple[list[float], list[float]]:
    shared = []
    alone = []
    for outcome in outcomes:
        ends = fair_share_ends(outcome.runs, outcome.capacity_at)
        full = Workload().capacity_tokens_per_s
        for run, end_s in zip(outcome.runs, ends, strict=True):
            share_s = max(run.longest_s, end_s - run.submitted_s)
            shared.append(run.duration_s / share_s)
            whole_s = max(run.longest_s, run.work_tokens / full)
            alone.append(run.duration_s / whole_s)
    return shared, alone


def _waste(outcomes: list[Outcome]) -> float:
    generated = sum(item.generated_tokens for item in outcomes)
    delivered = sum(item.delivered_tokens for item in outcomes)
    return 1.0 - delivered / generated


def missed_targets(report: CaseReport) -> list[str]:
    """Return the acceptance targets that a case misses."""
    missed = []
    for field in (
        'lost_count',
        'duplicate_count',
        'over_bound_count',
        'mislabelled_count',
    ):
        if getattr(report, field):
            missed.append(f'{field} {getattr(report, field)} is not 0')
    limit = report.case.max_p99_ratio
    if limit is not None and report.p99_ratio_shared > limit:
        missed.append(f'p99 ratio {report.p99_ratio_shared:.3f} > {limit}')
    if report.waste_share > MAX_WASTE_SHARE:
        missed.append(f'waste {report.waste_share:.3f} > {MAX_WASTE_SHARE}')
    if report.idle_ratio > MAX_IDLE_RATIO:
        missed.append(f'idle {report.idle_ratio:.3f} of baseline > 2/3')
    return [f'{report.case.name}: {text}' for text in missed]


COLUMNS = (
    ('p50 s', 'p50_s', '.0f'),
    ('p99 s', 'p99_s', '.0f'),
    ('p99/LB', 'p99_ratio_shared', '.3f'),
    ('fifo p99/LB', 'fifo_p99_ratio_shared', '.3f'),
    ('p99/alone', 'p99_ratio_alone', '.3f'),
    ('idle/fifo', 'idle_ratio', '.3f'),
    ('waste', 'waste_share', '.3f'),
    ('prefill', 'prefill_again_share', '.3f'),
    ('lost', 'lost_count', 'd'),
    ('dup', 'duplicate_count', 'd'),
    ('over', 'over_bound_count', 'd'),
    ('label', 'mislabelled_count', 'd'),
    ('writes/step', 'table_writes_per_step', '.0f'),
)


def print_table(reports: list[CaseReport]) -> None:
    """Print one line per case."""
    header = ''.join(f'{title:>13}' for title, _, _ in COLUMNS)
    print(f'{"case":<22}{header}')
    for report in reports:
        cells = ''.join(
            f'{format(getattr(report, field), form):>13}'
            for _, field, form in COLUMNS
        )
        print(f'{report.case.name:<22}{cells}')
