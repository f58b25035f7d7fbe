"""Response statuses of errors, by which clients decide on retries."""

from __future__ import annotations

import pytest

from dogwoodpost.errors import RequestError
from dogwoodpost.platform.ingress import _error_response


@pytest.mark.parametrize(
    ('status', 'not_run', 'sent'),
    [
        (503, True, 503),
        (429, True, 429),
        (503, False, 502),
        (429, False, 502),
        # On scale-1 of the enlarged Pizarra site, 24 requests that timed out
        # while waiting got 504, which does not say that they have not run.
        (504, True, 503),
        (502, True, 503),
        (504, False, 504),
        (502, False, 502),
        (404, True, 404),
    ],
)
def test_status_tells_whether_a_request_has_run(
    status: int, not_run: bool, sent: int
) -> None:
    """Guards against statuses that wrongly state or hide that nothing ran."""
    error = RequestError(
        'code', 'message', status=status, not_run=not_run, retry_after_s=0.25
    )
    response = _error_response(error)
    assert response.status == sent
    assert response.headers['Retry-After'] == '0.250'
