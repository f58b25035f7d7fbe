"""Reasons not to send a second attempt."""

from __future__ import annotations

from enum import Enum


class HedgeRefusal(Enum):
    """Why a slow request is not hedged; the value labels the counter."""

    SWITCHED_OFF = 'switched_off'
    FEW_LATENCIES = 'few_latencies'
    NO_TIME = 'no_time'
    REQUESTS_WAIT = 'requests_wait'
    UTILIZATION = 'utilization'
    ZONE_LOST = 'zone_lost'
    ENDPOINTS_LOST = 'endpoints_lost'
    SLOWDOWN = 'slowdown'
    BUDGET = 'budget'
    RETRY_BUDGET = 'retry_budget'
    NO_ENDPOINT = 'no_endpoint'
