"""Constants of the routing policy."""

from __future__ import annotations

import msgspec


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Tunable constants; the defaults are those that are measured.

    :param rendezvous_count: candidates by rendezvous hashing.
    :param random_count: candidates drawn at random.
    :param remote_count: candidates from other availability zones.
    :param index_count: candidates by the cache index.
    :param compare_all_count: up to so many endpoints of a service, all are
        candidates.
    :param max_index_blocks: bound on remembered (block, endpoint) pairs.
    :param load_bound: an affine endpoint may hold this multiple of the mean
        load of its service before others are preferred.
    :param overcommit_factor: requests that an endpoint may hold, as a share
        of its concurrency. Load reports lag, so without a short queue at the
        endpoint, freed places go to the nearest entry only.
    :param underserved_overcommit_factor: the same for accounts that are
        behind others, so that the entries they use get more of the places.
    :param max_patience_s: longest time that a request is passed over to wait
        for an endpoint that holds its prefix.
    :param prompt_token_units: work of an uncached prompt token, in
        generated tokens; its time follows from the observed time per unit.
    :param zone_delay_s: round trip to another zone of the region.
    :param region_delay_s: round trip to another region.
    :param region_charge_s_per_mib: seconds of waiting that must be saved
        before a mebibyte crosses regions.
    :param presumed_weight: trust in blocks known from own dispatches only.
    """

    rendezvous_count: int = 2
    random_count: int = 2
    remote_count: int = 2
    index_count: int = 3
    compare_all_count: int = 16
    max_index_blocks: int = 200_000
    load_bound: float = 1.25
    overcommit_factor: float = 1.125
    underserved_overcommit_factor: float = 1.25
    max_patience_s: float = 4.0
    prompt_token_units: float = 0.05
    zone_delay_s: float = 0.002
    region_delay_s: float = 0.04
    region_charge_s_per_mib: float = 2.0
    presumed_weight: float = 0.8


class OutlierSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Constants of outlier ejection.

    :param failure_count: failures in a row that eject an endpoint.
    :param failure_share: share of recent failures that ejects it as well.
    :param slow_factor: multiple of its peers' median service time per token
        that counts as slow.
    :param min_sample_count: results needed to judge share and slowness.
    :param max_ejected_share: cap on the ejected share of a service.
    :param base_ejection_s: first ejection; doubles with each further one.
    :param max_ejection_s: longest ejection.
    :param probe_count: good probes in a row that end an ejection.
    """

    failure_count: int = 3
    failure_share: float = 0.5
    slow_factor: float = 2.5
    min_sample_count: int = 8
    max_ejected_share: float = 0.4
    base_ejection_s: float = 2.0
    max_ejection_s: float = 60.0
    probe_count: int = 2
