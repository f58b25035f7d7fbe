"""Limit on the age of a sample at delivery."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class StalenessBound(msgspec.Struct, frozen=True, kw_only=True):
    """A limit in weight versions and, optionally, in seconds."""

    max_version_lag: int
    max_age_s: float | None = None

    def reason_if_stale(
        self,
        oldest_version: ids.WeightVersion,
        current_version: ids.WeightVersion,
        age_s: float,
    ) -> str | None:
        """Return why a sample exceeds the bound, or None if it does not."""
        if current_version - oldest_version > self.max_version_lag:
            return 'stale_version'
        if self.max_age_s is not None and age_s > self.max_age_s:
            return 'stale_age'
        return None
