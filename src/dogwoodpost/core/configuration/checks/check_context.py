"""What a check knows besides the configuration."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class RouteMatching(Enum):
    """How the entry that serves a format selects routes."""

    HOST_AND_PREFIX = 'host_and_prefix'
    SEGMENTS_AND_MODEL = 'segments_and_model'


class CheckContext(msgspec.Struct, frozen=True, kw_only=True):
    """Rules of the format and facts about the site.

    :param needs_listed_accounts: whether a route that is not open to all
        serves only the client accounts that it lists.
    :param states_endpoint_counts: whether ``Service.max_endpoint_count`` is
        the operator's value.
    :param region_by_zone: availability zones and their regions, None if they
        are not known.
    :param hedging_enabled: whether the settings allow second sends.
    """

    matching: RouteMatching
    needs_listed_accounts: bool
    states_endpoint_counts: bool
    region_by_zone: dict[ids.AvailabilityZone, ids.Region] | None = None
    hedging_enabled: bool = False


OWN_FORMAT = CheckContext(
    matching=RouteMatching.SEGMENTS_AND_MODEL,
    needs_listed_accounts=True,
    states_endpoint_counts=True,
)
