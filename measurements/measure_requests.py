"""Measures the request policy against its targets (section 1.8)."""

from __future__ import annotations

import concurrent.futures
import json
import sys

import msgspec

from measurements.requests.case import CASES
from measurements.requests.runner import POLICIES
from measurements.requests.runner import Result
from measurements.requests.runner import run_policy
from measurements.requests.targets import missed_targets
from measurements.requests.user import USERS
from measurements.requests.workload import generate_workload

_WORKER_COUNT = 3
_COLUMNS = (
    ('goodput', 'goodput_share', '7.3f'),
    ('plain', 'plain_share', '6.3f'),
    ('p99 s', 'p99_wait_s', '7.3f'),
    ('plain p99', 'plain_p99_wait_s', '9.3f'),
    ('hits', 'hit_rate', '6.3f'),
    ('best', 'best_hit_rate', '6.3f'),
    ('amplif.', 'amplification', '7.3f'),
    ('cross MiB', 'cross_region_mib', '9.1f'),
)


def run_case(user_index: int, case_index: int) -> list[Result]:
    """Run all policies on one case."""
    user, case = USERS[user_index], CASES[case_index]
    workload = generate_workload(user, case)
    return [run_policy(user, case, policy, workload) for policy in POLICIES]


def main() -> None:
    """Run all cases, print the table and the JSON line."""
    results: list[Result] = []
    with concurrent.futures.ProcessPoolExecutor(_WORKER_COUNT) as pool:
        futures = [
            pool.submit(run_case, user_index, case_index)
            for user_index in range(len(USERS))
            for case_index in range(len(CASES))
        ]
        for future in futures:
            results += future.result()
    _print_table(results)
    missed = missed_targets(results)
    for line in missed:
        print(f'missed: {line}')
    document = {
        'results': [msgspec.to_builtins(result) for result in results],
        'missed': missed,
    }
    print(json.dumps(document, ensure_ascii=False))
    sys.exit(1 if missed else 0)


def _print_table(results: list[Result]) -> None:
    header = f'{"user":18} {"case":18} {"policy":12}'
    print(header, *(title for title, _, _ in _COLUMNS), 'outcomes')
    for result in results:
        cells = [
            format(getattr(result, field), form) for _, field, form in _COLUMNS
        ]
        row = f'{result.user:18} {result.case:18} {result.policy:12}'
        print(row, *cells, result.outcomes)


if __name__ == '__main__':
    main()
