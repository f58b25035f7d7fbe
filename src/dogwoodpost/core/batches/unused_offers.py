"""Endpoints whose free slots nobody takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.expiring_keys import ExpiringKeys

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Other processes learn of free slots within one or two messages (0.1 s each)
# and look for slots every 0.03 s.
_OFFER_S = 0.4
# Free slots are looked at every 0.03 s while items wait, so an endpoint that
# was not offered for this long was full in between.
_MAX_GAP_S = 0.15
# How long an endpoint is not offered after an offer that was not taken.
_PAUSE_S = 2.0


class _Offer(msgspec.Struct):
    other_count: int
    since_s: float
    last_s: float


class UnusedOffers:
    """Detects endpoints that the processes with claims on them can't use.

    Demands don't name weight versions. An endpoint that has not yet loaded
    the version of a step would otherwise have free slots for as long as the
    items of the step wait.
    """

    def __init__(self) -> None:
        self._offers: dict[ids.EndpointId, _Offer] = {}
        self._unused: ExpiringKeys[ids.EndpointId] = ExpiringKeys()

    def note_offered(
        self, endpoint_id: ids.EndpointId, other_count: int, now_s: float
    ) -> None:
        """Record that free slots of an endpoint are left to others.

        :param other_count: requests of other processes at the endpoint; a
            rise means that they use it.
        """
        offer = self._offers.get(endpoint_id)
        if (
            offer is None
            or now_s - offer.last_s > _MAX_GAP_S
            or other_count > offer.other_count
        ):
            self._drop_old_offers(now_s)
            self._offers[endpoint_id] = _Offer(other_count, now_s, now_s)
            return
        offer.other_count = other_count
        offer.last_s = now_s
        if now_s - offer.since_s >= _OFFER_S:
            self._unused.add(endpoint_id, now_s + _PAUSE_S)

    def unused_ids(self, now_s: float) -> frozenset[ids.EndpointId]:
        """Return the endpoints that need not be offered now."""
        return self._unused.current(now_s)

    def _drop_old_offers(self, now_s: float) -> None:
        self._offers = {
            endpoint_id: offer
            for endpoint_id, offer in self._offers.items()
            if now_s - offer.last_s <= _MAX_GAP_S
        }
