"""Command of ``make soak``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import cyclopts

from tests.soak.soak_run import run_soak

_app = cyclopts.App(
    help='Injects faults into real processes and checks their guarantees.'
)


@_app.default
def soak(
    *,
    seed: int,
    duration_s: float = 20.0,
    nodes: int = 3,
    faults: int = 40,
) -> None:
    """Run one soak.

    :param seed: seed that the faults are drawn from.
    :param duration_s: duration of the traffic with faults, in seconds.
    :param nodes: number of processes.
    :param faults: number of faults to inject.
    """
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    report = asyncio.run(
        run_soak(
            seed,
            folder,
            duration_s=duration_s,
            node_count=nodes,
            fault_count=faults,
        )
    )
    print(  # noqa: T201
        f'seed {seed}: {report.served_count} requests served, '
        f'{report.job_count} jobs, {len(report.violations)} violations'
    )
    for violation in report.violations:
        print(f'  {violation}')  # noqa: T201
    if report.violations:
        for fault in report.faults:
            print(f'  {fault}')  # noqa: T201
        print(f'  logs: {folder}')  # noqa: T201
        sys.exit(1)


_app()
