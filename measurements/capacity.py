"""Prints the measured slopes of docs/CAPACITY.md and the sums per role."""

from __future__ import annotations

import json
import sys

import msgspec

from measurements.control.node_costs import node_costs
from measurements.control.slopes import measure_slopes


def main() -> int:
    """Measure and print; the figures are valid for this machine only."""
    slopes = measure_slopes()
    print(f'{"slope":45} {"µs":>9} {"wire B":>8} {"memory B":>12}')
    for slope in slopes.values():
        print(
            f'{slope.name:45} {slope.cpu_us:9.1f} {slope.wire_bytes:8d}'
            f' {slope.memory_bytes:12.0f}'
        )
    costs = node_costs(slopes)
    print(f'\n{"role and mechanism":45} {"core %":>9} {"KB/s":>8} {"MB":>8}')
    for cost in costs:
        print(
            f'{cost.role + ": " + cost.mechanism:45}'
            f' {cost.core_share * 100:9.3f} {cost.bytes_per_s / 1e3:8.2f}'
            f' {cost.memory_bytes / 1e6:8.1f}'
        )
    print(
        json.dumps(
            {
                'slopes': msgspec.to_builtins(list(slopes.values())),
                'costs': msgspec.to_builtins(costs),
            }
        )
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
