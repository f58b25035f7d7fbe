"""Tables of the store that a process follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.platform import configuration_rows
from dogwoodpost.platform import endpoint_rows
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.control import endpoint_versions
from dogwoodpost.services.membership import presence_service

if TYPE_CHECKING:
    from dogwoodpost.platform.configuration_rows import ConfigurationRows
    from dogwoodpost.platform.endpoint_rows import EndpointRows
    from dogwoodpost.platform.table_feeds import TableFeeds
    from dogwoodpost.services.batches.job_directory import JobDirectory
    from dogwoodpost.services.control.endpoint_versions import EndpointVersions
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

# Shortest pauses between two reads of the same table's feed.
_CONFIGURATION_READ_PAUSE_S = 0.15
_ENDPOINT_READ_PAUSE_S = 0.2
_JOB_HEAD_READ_PAUSE_S = 0.05
_VERSION_READ_PAUSE_S = 0.1
_PRESENCE_READ_PAUSE_S = 0.25


def add_followed_tables(
    feeds: TableFeeds,
    *,
    configuration: ConfigurationRows,
    endpoints: EndpointRows,
    presence: PresenceService,
    versions: EndpointVersions,
    jobs: JobDirectory,
) -> None:
    """Add the tables of a process to its feeds, each with its reader."""
    feeds.add(
        configuration_rows.TABLE, configuration, _CONFIGURATION_READ_PAUSE_S
    )
    feeds.add(endpoint_rows.TABLE, endpoints, _ENDPOINT_READ_PAUSE_S)
    feeds.add(presence_service.TABLE, presence, _PRESENCE_READ_PAUSE_S)
    feeds.add(endpoint_versions.TABLE, versions, _VERSION_READ_PAUSE_S)
    feeds.add(
        job_rows.HEAD_TABLE, jobs, _JOB_HEAD_READ_PAUSE_S, partitioned=True
    )
