"""Measures step times, waste and correctness of rollouts."""

from __future__ import annotations

import concurrent.futures
import json
import sys

import msgspec
import structlog

from dogwoodpost.core.rollouts.scheduling_policy import FIFO
from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
from measurements.rollouts.report import CaseReport
from measurements.rollouts.report import missed_targets
from measurements.rollouts.report import print_table
from measurements.rollouts.report import summarize
from measurements.rollouts.simulation import Outcome
from measurements.rollouts.simulation import Simulation
from measurements.rollouts.weight_hops import measure_hops
from measurements.rollouts.workload import Case
from measurements.rollouts.workload import CASES
from measurements.rollouts.workload import Workload

SEEDS = (11, 12)
POLICIES = {'chosen': SchedulingPolicy(), 'fifo': FIFO}
# At most half of the cores, because the machine is shared.
WORKER_COUNT = 5


def run_one(case: Case, policy: SchedulingPolicy, seed: int) -> Outcome:
    """Run one simulation, in a worker process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    return Simulation(Workload(), case, policy, seed).run()


def main() -> int:
    """Run all cases; return 1 if a target is missed."""
    jobs = {}
    with concurrent.futures.ProcessPoolExecutor(WORKER_COUNT) as pool:
        for case in CASES:
            for name, policy in POLICIES.items():
                for seed in SEEDS:
                    future = pool.submit(run_one, case, policy, seed)
                    jobs[case.name, name, seed] = future
        outcomes = {key: job.result() for key, job in jobs.items()}
    reports = [
        summarize(
            case,
            [outcomes[case.name, 'chosen', seed] for seed in SEEDS],
            [outcomes[case.name, 'fifo', seed] for seed in SEEDS],
        )
        for case in CASES
    ]
    return _print_results(reports)


def _print_results(reports: list[CaseReport]) -> int:
    print_table(reports)
    hops = measure_hops()
    print(f'weight hop {hops.hop_ms:.2f} ms, depth {hops.depth}')
    missed = [text for report in reports for text in missed_targets(report)]
    result = {
        'seeds': SEEDS,
        'workload': msgspec.to_builtins(Workload()),
        'cases': msgspec.to_builtins(reports),
        'weight_hops': msgspec.to_builtins(hops),
        'missed': missed,
    }
    print(json.dumps(result))
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
