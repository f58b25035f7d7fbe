"""``config-check``: checks a configuration in the platform's format."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter
from functools import partial
from itertools import chain
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.collection_pause import paused_collection
from dogwoodpost.core import ids
from dogwoodpost.core.configuration.checks import check_configuration
from dogwoodpost.core.configuration.checks import CheckContext
from dogwoodpost.core.configuration.checks import CheckFinding
from dogwoodpost.core.configuration.checks import JsonDocument
from dogwoodpost.core.configuration.checks import report
from dogwoodpost.core.configuration.checks import RouteMatching
from dogwoodpost.core.configuration.checks import Severity
from dogwoodpost.core.configuration.checks import warning
from dogwoodpost.core.findings import Finding
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyReader
from dogwoodpost.document_file import read_bytes
from dogwoodpost.document_file import read_document
from dogwoodpost.errors import InvalidInputError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import StoreError
from dogwoodpost.observability import Metrics
from dogwoodpost.platform import configuration_rows
from dogwoodpost.platform.configuration_rows import decode_configuration
from dogwoodpost.platform.configuration_rows import RegionsError
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.sessions import http_session
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.store_client import PlatformRowStore
from dogwoodpost.platform.store_connection import StoreConnection

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.platform.configuration_rows import WireConfiguration

_UNREADABLE_EXIT_CODE = 2
_DEFAULT_LIMIT = 50


def main(arguments: Sequence[str]) -> int:
    """Check a configuration and print the findings.

    :param arguments: command line after ``config-check``.

    :returns: 0 without an error, 1 with one, 2 if the input can't be read.
    """
    options = _parser().parse_args(arguments)
    # Findings state what the adapter would log.
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    try:
        with paused_collection():
            return _check(options)
    except (InvalidInputError, StoreError) as error:
        print(error, file=sys.stderr)  # noqa: T201
        return _UNREADABLE_EXIT_CODE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python3 -m dogwoodpost.platform config-check',
        description='Check a configuration before it is sent.',
    )
    parser.add_argument('file', type=Path, help='configuration to check')
    other = parser.add_mutually_exclusive_group()
    other.add_argument(
        '--against', type=Path, metavar='FILE', help='version to compare with'
    )
    other.add_argument(
        '--in-force',
        metavar='ADDRESS',
        help='store (host:port) with the version to compare with',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help='settings of a process, for the regions and the policy',
    )
    parser.add_argument('--format', choices=('text', 'json'), default='text')
    parser.add_argument('--limit', type=int, default=_DEFAULT_LIMIT)
    return parser


def _check(options: argparse.Namespace) -> int:
    """Check, print and return the exit code.

    :raises InvalidInputError: a file or the version in force can't be read.
    :raises StoreError: the store can't be read.
    """
    context = _context(options.settings)
    regions = None
    if context.region_by_zone is not None:
        regions = frozenset(context.region_by_zone.values())
    before = None
    if options.against is not None:
        _, before = read_document(options.against, partial(_decode, None))
    elif options.in_force is not None:
        place = f'{options.in_force} {configuration_rows.TABLE}/'
        place += configuration_rows.CONFIGURATION_KEY
        row = asyncio.run(_read_in_force(options.in_force, place))
        _, before = read_bytes(place, row, partial(_decode, None))
    findings: Iterator[CheckFinding]
    try:
        wire, configuration = read_document(
            options.file, partial(_decode, regions)
        )
    except RegionsError as error:
        # The adapter refuses the whole configuration.
        findings = iter([_region_finding(error)])
    else:
        findings = chain(
            _platform_findings(wire, configuration),
            check_configuration(configuration, context, before),
        )
    result = report(findings, options.limit)
    text = result.to_text()
    if options.format == 'json':
        text = result.to_json()
    print(text)  # noqa: T201
    return result.exit_code


def _context(settings_file: Path | None) -> CheckContext:
    """Return the rules of the format and what the settings state.

    :raises InvalidInputError: the settings can't be read.
    """
    region_by_zone = None
    hedging_enabled = False
    if settings_file is not None:
        settings = load_settings(settings_file)
        region_by_zone = {
            ids.AvailabilityZone(zone): ids.Region(region)
            for zone, region in settings.zones.items()
        }
        policy, _ = PolicyReader().read(settings.policy, Policy())
        hedging_enabled = policy.hedging.enabled
    return CheckContext(
        matching=RouteMatching.HOST_AND_PREFIX,
        needs_listed_accounts=False,
        states_endpoint_counts=False,
        region_by_zone=region_by_zone,
        hedging_enabled=hedging_enabled,
    )


def _decode(
    regions: frozenset[str] | None, data: bytes
) -> tuple[WireConfiguration, Configuration]:
    """Return a configuration as the adapter decodes it.

    :param regions: regions of the site, None to accept all.

    :raises DocumentError: the document can't be read.
    :raises RegionsError: a list of regions is not valid.
    """
    document = JsonDocument(data, allow_comments=False)
    try:
        return decode_configuration(data, regions)
    except MalformedDataError as error:
        document.fail(str(error))


async def _read_in_force(address: str, place: str) -> bytes:
    """Return the row of the configuration in force.

    :raises InvalidInputError: the store has no such row.
    :raises StoreError: the store can't be read.
    """
    metrics = Metrics()
    counts = ConnectionCounts(metrics)
    key = configuration_rows.CONFIGURATION_KEY
    async with http_session(counts, reuse=False) as session:
        rows = PlatformRowStore(StoreConnection(address, session, metrics))
        page = await rows.read(
            configuration_rows.TABLE, '', start=key, end=f'{key}\0', limit=1
        )
    for row in page.rows:
        if row.value is not None:
            return row.value
    raise InvalidInputError([Finding(place, 'no row', 'a configuration')])


def _region_finding(error: RegionsError) -> CheckFinding:
    return CheckFinding(
        severity=Severity.ERROR,
        place='allowed regions',
        found=str(error),
        action='list each region once, with the name of a known one',
    )


def _platform_findings(
    wire: WireConfiguration, configuration: Configuration
) -> Iterator[CheckFinding]:
    """Yield what the converted configuration no longer shows."""
    sections = (
        ('routes', wire.routes),
        ('services', wire.services),
        ('client_accounts', wire.tenants),
    )
    for section, entries in sections:
        counts = Counter(entry.name for entry in entries)
        for name, count in counts.items():
            if count > 1:
                yield warning(
                    f'{section}.{name}',
                    f'{count} entries have this name; only the last counts',
                    'remove the others or rename them',
                )
    for route in wire.routes:
        limit_ms = configuration.routes[ids.RouteName(route.name)].timeout_ms
        wanted_ms = route.target_latency_ms
        if wanted_ms is not None and limit_ms < wanted_ms:
            yield warning(
                f'routes.{route.name}.timeout_ms',
                f'{limit_ms} ms is below the wanted latency, {wanted_ms} ms',
                'raise the time limit or lower the wanted latency',
            )
    for service in wire.services:
        known = configuration.services[ids.ServiceName(service.name)]
        if service.scale is not None and known.zone_scale is None:
            yield warning(
                f'services.{service.name}.scale',
                'limits that can not be read, so the service is not scaled',
                'state both limits as whole numbers',
            )
    yield from _shared_keys(wire)


def _shared_keys(wire: WireConfiguration) -> Iterator[CheckFinding]:
    """Yield each account with a key that a later account takes over."""
    last_owner = {
        key: account.name
        for account in wire.tenants
        for key in account.api_keys
    }
    for account in wire.tenants:
        owners = {last_owner[key] for key in account.api_keys}
        for owner in sorted(owners - {account.name}):
            yield warning(
                f'client_accounts.{account.name}.keys',
                f'a key also belongs to {owner}, whose requests it counts as',
                'remove the key from one of them',
            )
