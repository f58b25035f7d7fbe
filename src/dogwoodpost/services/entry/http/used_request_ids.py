"""Recognises repeated request ids."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Longer than callers usually keep on retrying.
_MIN_RETENTION_S = 300.0
_MAX_ACCOUNT_COUNT = 50_000
_MAX_TOTAL_COUNT = 200_000


class UsedRequestIds:
    """Remembers the ids that callers gave their requests.

    The memory is bounded. When it is full, requests with an id of their own
    are refused rather than an id forgotten.
    """

    def __init__(
        self,
        max_account_count: int = _MAX_ACCOUNT_COUNT,
        max_total_count: int = _MAX_TOTAL_COUNT,
    ) -> None:
        self._max_account_count = max_account_count
        self._max_total_count = max_total_count
        self._expiry_s: dict[str, OrderedDict[ids.RequestId, float]] = {}
        self._count = 0

    def remember(
        self,
        client_account_id: str,
        request_id: ids.RequestId,
        timeout_s: float,
        now_s: float,
    ) -> None:
        """Remember an id for its request's time limit, 300 s at least.

        :raises RequestError: the id is known, or the memory is full.
        """
        self._prune(client_account_id, now_s)
        known = self._expiry_s.setdefault(client_account_id, OrderedDict())
        if request_id in known:
            raise RequestError(
                'duplicate_request_id',
                'a request with this id was accepted before',
                status=409,
            )
        full = len(known) >= self._max_account_count
        if full or self._count >= self._max_total_count:
            raise RequestError(
                'request_ids_full',
                'too many request ids are remembered',
                status=503,
                not_run=True,
                retry_after_s=10.0,
            )
        known[request_id] = now_s + max(timeout_s, _MIN_RETENTION_S)
        self._count += 1

    def forget(
        self, client_account_id: str, request_id: ids.RequestId
    ) -> None:
        """Forget the id of a request that has not run."""
        known = self._expiry_s.get(client_account_id, OrderedDict())
        if known.pop(request_id, None) is not None:
            self._count -= 1

    def _prune(self, client_account_id: str, now_s: float) -> None:
        if self._count >= self._max_total_count:
            accounts = list(self._expiry_s)
        else:
            accounts = [client_account_id]
        for account_id in accounts:
            known = self._expiry_s.get(account_id, OrderedDict())
            while known and next(iter(known.values())) <= now_s:
                known.popitem(last=False)
                self._count -= 1
