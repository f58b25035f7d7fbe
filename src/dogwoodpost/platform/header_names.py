"""Names of the HTTP headers of the platform."""

from __future__ import annotations

REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Deadline-Ms'
EXPECTED_ENDPOINT = 'X-Expect-Instance'
CLIENT_ACCOUNT = 'X-Tenant'
NOT_RUN = 'X-Not-Executed'
SIGNATURE = 'X-Response-Signature'
LEAVING = 'Server-Leaving'
WEIGHT_VERSION = 'X-Weight-Versions'
LAST_EVENT_ID = 'Last-Event-Id'
LENGTH_HINT = 'X-Length-Hint'
WAIT_MS = 'X-Wait-Ms'
RETRY_AFTER = 'Retry-After'
DUTY_HOLDER = 'X-Duty-Holder'
FENCING_TOKEN = 'X-Fencing-Token'

# Headers that are not passed on from clients, in lower case. Some are set by
# this system itself; the others control memory and slots of an engine, which
# clients must not do.
DROPPED_CLIENT_HEADERS = frozenset(
    name.lower()
    for name in (
        'Authorization',
        'Content-Length',
        'Expect',
        'Kv-Fetch',
        'Kv-From',
        'X-Expect-Version',
        'X-Hold',
        'X-Kv-Backup',
        'X-Pin-Ms',
        'X-Request-Priority',
        CLIENT_ACCOUNT,
        DEADLINE_MS,
        EXPECTED_ENDPOINT,
        REQUEST_ID,
    )
)
