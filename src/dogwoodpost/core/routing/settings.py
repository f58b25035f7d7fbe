"""Parameters of the routing policy."""

from __future__ import annotations

import msgspec


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the selection of endpoints.

    :param rendezvous_count: candidates chosen by rendezvous hashing.
    :param random_count: candidates drawn at random among the nearest
        endpoints.
    :param remote_count: candidates drawn at random at each greater distance.
    :param index_count: candidates chosen by the cache index.
    :param compare_all_count: a service with at most this many endpoints has
        all of them as candidates.
    :param max_index_blocks: limit on (block, endpoint) pairs in the cache
        index.
    :param load_bound: cached prefixes of an endpoint are ignored while its
        load exceeds ``load_bound * (mean load of the candidates + 1)``.
    :param overcommit_factor: requests that an endpoint may hold, as a
        multiple of its concurrency. Load reports lag, so without a short
        queue at the endpoint only the nearest entry would get freed slots.
    :param underserved_overcommit_factor: the same for client accounts that
        have received less than others, so that the entries they use get more
        of the slots.
    :param max_prefix_wait_s: longest time that a request waits for an
        endpoint that holds its prefix while others could take it.
    :param prompt_token_units: work of an uncached prompt token, in generated
        tokens; its time follows from the observed time per unit of work.
    :param zone_delay_s: round trip to another availability zone of the
        region.
    :param region_delay_s: round trip to another region.
    :param region_charge_s_per_mib: waiting time, in seconds, that must be
        saved for each mebibyte sent to another region.
    :param timeout_cost_s: time that an attempt is expected to lose at an
        endpoint that has just let another one time out.
    :param presumed_weight: weight of blocks that are known only from this
        entry's own dispatches; blocks confirmed by cache events weigh 1.
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
    max_prefix_wait_s: float = 4.0
    prompt_token_units: float = 0.05
    zone_delay_s: float = 0.002
    region_delay_s: float = 0.04
    region_charge_s_per_mib: float = 2.0
    timeout_cost_s: float = 1.0
    presumed_weight: float = 0.8


class OutlierSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of outlier ejection.

    :param failure_count: consecutive failures that eject an endpoint.
    :param failure_share: moving average of the share of failed attempts that
        also ejects an endpoint.
    :param slow_factor: an endpoint is slow if its time per unit of work
        exceeds this multiple of the median of its service.
    :param min_sample_count: results needed before ``failure_share`` and
        ``slow_factor`` apply.
    :param max_ejected_share: largest share of a service's endpoints that may
        be ejected at once.
    :param timeout_memory_s: time after a timeout during which requests prefer
        other endpoints, in seconds, unless the endpoint answers before.
    :param base_ejection_s: duration of the first ejection, in seconds; it
        doubles with each further ejection.
    :param max_ejection_s: longest duration of an ejection, in seconds.
    :param probe_count: successful probes in a row that end an ejection; a
        failed probe starts a new ejection.
    """

    failure_count: int = 3
    failure_share: float = 0.5
    slow_factor: float = 2.5
    min_sample_count: int = 8
    max_ejected_share: float = 0.4
    timeout_memory_s: float = 2.0
    base_ejection_s: float = 2.0
    max_ejection_s: float = 60.0
    probe_count: int = 2
