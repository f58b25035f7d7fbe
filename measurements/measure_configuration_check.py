"""Time and memory of a configuration check of 100,000 routes.

Run with ``python -m measurements.measure_configuration_check``. It exits with
1 if a check is above the targets of the design page, section 5.7.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

ROUTE_COUNT = 100_000
ACCOUNT_COUNT = 1_000
SERVICE_COUNT = 1_000
MAX_S = 5.0
MAX_MB = 500.0
_KIB_PER_MB = 1_000 / 1.024
_OWN_COMMAND = (
    '-c',
    'from dogwoodpost.cli.app import main; main()',
    'config',
    'check',
)
_PLATFORM_COMMAND = ('-m', 'dogwoodpost.platform', 'config-check')


def own_format(shift: int) -> dict[str, Any]:
    """Return a configuration; some fields depend on ``shift``."""
    accounts = [f'account-{number}' for number in range(ACCOUNT_COUNT)]
    return {
        'client_accounts': {
            name: {'client_account_id': name} for name in accounts
        },
        'keys': {
            f'key-{name}': {
                'key_id': f'key-{name}',
                'client_account_id': name,
                'digest': f'{index:064x}',
            }
            for index, name in enumerate(accounts)
        },
        'services': {
            f'service-{number}': {
                'name': f'service-{number}',
                'kind': 'plain',
            }
            for number in range(SERVICE_COUNT)
        },
        'routes': {
            f'route-{number}': {
                'name': f'route-{number}',
                'service': f'service-{number % SERVICE_COUNT}',
                # A tenth of the routes is hidden.
                'path_prefix': f'/tenant/{number // 10 * 10 + number % 9}',
                'client_account_ids': [accounts[number % ACCOUNT_COUNT]],
                'timeout_ms': 1_000 + shift,
                'max_attempt_count': 20,
                'kind': 'batch',
                'due_ms': 9_000,
                'item_lifetime_s': 8.0,
            }
            for number in range(shift, ROUTE_COUNT + shift)
        },
    }


def platform_format(shift: int) -> dict[str, Any]:
    """Return the same in the platform's format."""
    own = own_format(shift)
    return {
        'version': 1 + shift,
        'tenants': [
            {'name': name, 'apiKeys': [f'key-{name}']}
            for name in own['client_accounts']
        ],
        'services': [{'name': name} for name in own['services']],
        'routes': [
            {
                'name': route['name'],
                'host': 'api.example',
                'prefix': route['path_prefix'],
                'kind': 'rollout',
                'service': route['service'],
                'timeoutMs': route['timeout_ms'],
                'targetLatencyMs': 2_000,
                'dueMs': 9_000,
                'queueTtlS': 8,
                'maxAttempts': 3,
            }
            for route in own['routes'].values()
        ],
    }


def measure(name: str, command: tuple[str, ...]) -> bool:
    """Run a command; return whether it is within the targets."""
    started_s = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    lines = process.stdout.read().splitlines()
    _, status, usage = os.wait4(process.pid, 0)
    elapsed_s = time.monotonic() - started_s
    process.returncode = os.waitstatus_to_exitcode(status)
    memory_mb = usage.ru_maxrss / _KIB_PER_MB
    cpu_s = usage.ru_utime + usage.ru_stime
    print(
        f'{name}: {elapsed_s:.2f} s, {cpu_s:.2f} s of a core, '
        f'{memory_mb:.0f} MB, exit code {process.returncode}; {lines[-1]}'
    )
    is_checked = process.returncode in {0, 1}
    return is_checked and elapsed_s < MAX_S and memory_mb < MAX_MB


def main() -> int:
    """Measure both formats; return the exit code."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for name, create, command in (
            ('own format', own_format, _OWN_COMMAND),
            ('platform', platform_format, _PLATFORM_COMMAND),
        ):
            files = []
            for shift in (0, 100):
                path = Path(folder) / f'{name}-{shift}.json'
                path.write_bytes(msgspec.json.encode(create(shift)))
                files.append(str(path))
            size_mb = Path(files[0]).stat().st_size / 1e6
            title = f'{name}, {ROUTE_COUNT} routes, {size_mb:.0f} MB'
            results.append(measure(title, (*command, files[0])))
            results.append(
                measure(
                    f'{title}, --against',
                    (*command, files[0], '--against', files[1]),
                )
            )
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
