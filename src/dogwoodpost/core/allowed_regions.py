"""Regions in which work may be served and its data kept."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class AllowedRegions(msgspec.Struct, frozen=True):
    """The regions that a piece of work may be sent to.

    :param regions: allowed regions, None if the work may go anywhere.
    """

    regions: frozenset[ids.Region] | None = None

    @property
    def is_limited(self) -> bool:
        """Return whether any region is excluded."""
        return self.regions is not None

    @property
    def is_empty(self) -> bool:
        """Return whether no region is allowed."""
        return self.regions is not None and not self.regions

    def permits(self, region: ids.Region) -> bool:
        """Return whether the work may be sent to a region."""
        return self.regions is None or region in self.regions

    def intersection(self, other: AllowedRegions) -> AllowedRegions:
        """Return the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return AllowedRegions(self.regions & other.regions)


ANY_REGION = AllowedRegions()
