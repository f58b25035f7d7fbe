"""Measures configuration, leases, scaling, overhead and usage windows."""

from __future__ import annotations

import json
import sys

import msgspec
import structlog

from measurements.control.configuration import ConfigurationResult
from measurements.control.configuration import run_configuration_cases
from measurements.control.leases import LeaseResult
from measurements.control.leases import run_lease_cases
from measurements.control.node_costs import node_costs
from measurements.control.node_costs import NodeCost
from measurements.control.scaling import REQUIRED_SAVING
from measurements.control.scaling import run_scaling_cases
from measurements.control.scaling import ScalingResult
from measurements.control.slopes import measure_slopes
from measurements.control.usage import run_usage_cases
from measurements.control.usage import UsageResult
from measurements.control.workers import open_workers


class ControlReport(msgspec.Struct, frozen=True, kw_only=True):
    """All results, and the targets that were missed."""

    configuration: list[ConfigurationResult]
    leases: list[LeaseResult]
    node_costs: list[NodeCost]
    scaling: list[ScalingResult]
    usage: list[UsageResult]

    def missed(self) -> list[str]:
        """Return one text for each missed target."""
        missed = [
            f'configuration, {item.case}, {item.process_count} processes'
            for item in self.configuration
            if not item.met
        ]
        missed += [
            f'overhead of {cost.role}: {text}'
            for cost in self.node_costs
            if cost.is_sum
            for text in cost.missed()
        ]
        missed += [
            f'scaling, {item.site}: saves {item.saving:.1%}'
            for item in self.scaling
            if item.is_gated
            and item.saving is not None
            and (item.saving < REQUIRED_SAVING or not item.meets_target)
        ]
        missed += [
            f'usage, {item.case}' for item in self.usage if not item.is_met
        ]
        return missed


def _print_configuration(report: ControlReport) -> None:
    print('change in force everywhere after a time in s')
    for item in report.configuration:
        print(
            f'  {item.process_count:4d} {item.case:20} p50 {item.p50_s:5.2f}'
            f'  p99 {item.p99_s:5.2f}  max {item.max_s:5.2f}'
            f'  target {item.target_s}'
            f'  B/s per node {item.bytes_per_node_per_s:7.0f}'
            f'  reads/s {item.store_reads_per_s:7.1f}'
        )
    print('takeover after the death of a lease holder in s')
    for lease in report.leases:
        print(
            f'  {lease.case:25} p50 {lease.takeover_p50_s:5.2f}'
            f'  p99 {lease.takeover_p99_s:5.2f}'
            f'  max {lease.takeover_max_s:5.2f}'
            f'  reads/s {lease.store_reads_per_s:5.1f}'
            f'  writes/s {lease.store_writes_per_s:5.1f}'
        )


def _print_overhead(report: ControlReport) -> None:
    print('control overhead per node at the target size')
    for cost in report.node_costs:
        print(
            f'  {cost.role:6} {cost.mechanism:26}'
            f' {cost.core_share * 100:7.3f}% of a core'
            f' {cost.bytes_per_s / 1e3:9.2f} KB/s'
            f' {cost.memory_bytes / 1e6:7.1f} MB'
        )


def _print_scaling(report: ControlReport) -> None:
    print('endpoint hours a day at equal service in the worst hour')
    for item in report.scaling:
        saving = '' if item.saving is None else f'  saves {item.saving:.1%}'
        print(
            f'  {item.site:27} {item.policy:20} {item.endpoint_hours:8.1f}'
            f'  worst hour {item.worst_hour_share:.4f}'
            f'  ({item.setting}){saving}'
        )


def _print_usage(report: ControlReport) -> None:
    print('usage windows')
    for item in report.usage:
        print(
            f'  {item.case:24} windows {item.window_count}'
            f'  wrong {item.wrong_window_count}'
            f'  contradicted {item.contradicted_window_count}'
            f'  missing {item.missing_window_count}'
            f'  late {item.late_window_count}'
            f'  longest delay {item.longest_delay_s:.0f} s'
            f' of {item.allowed_delay_s:.0f} s'
            f'  lost at crash {item.lost_at_crash_tokens} tokens'
            f' of {item.recorded_tokens}'
        )


def main() -> int:
    """Run all cases; return 1 if a target is missed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    # Slopes are measured first, before the other cases load the machine.
    costs = node_costs(measure_slopes())
    with open_workers(2) as executor:
        configuration = executor.submit(run_configuration_cases)
        leases = executor.submit(run_lease_cases)
        report = ControlReport(
            node_costs=costs,
            scaling=run_scaling_cases(),
            usage=run_usage_cases(),
            configuration=configuration.result(),
            leases=leases.result(),
        )
    _print_configuration(report)
    _print_overhead(report)
    _print_scaling(report)
    _print_usage(report)
    missed = report.missed()
    for text in missed:
        print(f'MISSED: {text}')
    print(json.dumps(msgspec.to_builtins(report) | {'missed': missed}))
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
