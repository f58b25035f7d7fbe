"""Rejects request ids that were used before."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Callers usually stop retrying before this time.
_MIN_RETENTION_S = 300.0
_MAX_COUNT_PER_ACCOUNT = 50_000
_MAX_TOTAL_COUNT = 200_000


class UsedRequestIds:
    """Remembers the ids that callers have set for their requests.

    The number of ids is limited. At the limit, requests with a new id are
    refused; no id is forgotten before it expires.

    :param max_count_per_account: limit on the ids of one client account.
    :param max_total_count: limit on the ids of all client accounts.
    """

    def __init__(
        self,
        max_count_per_account: int = _MAX_COUNT_PER_ACCOUNT,
        max_total_count: int = _MAX_TOTAL_COUNT,
    ) -> None:
        self._max_count_per_account = max_count_per_account
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
        """Remember an id for its request's time limit, at least for 300 s.

        :param timeout_s: time limit of the request.
        :param now_s: monotonic time.
        :raises RequestError: the id was used before, or a limit on the number
            of ids is reached.
        """
        self._prune(client_account_id, now_s)
        expiry_s_by_id = self._expiry_s.setdefault(
            client_account_id, OrderedDict()
        )
        if request_id in expiry_s_by_id:
            raise RequestError(
                'duplicate_request_id',
                'a request with this id was accepted before',
                status=409,
            )
        account_full = len(expiry_s_by_id) >= self._max_count_per_account
        if account_full or self._count >= self._max_total_count:
            raise RequestError(
                'request_ids_full',
                'too many request ids are remembered',
                status=503,
                not_run=True,
                retry_after_s=10.0,
            )
        expiry_s_by_id[request_id] = now_s + max(timeout_s, _MIN_RETENTION_S)
        self._count += 1

    def forget(
        self, client_account_id: str, request_id: ids.RequestId
    ) -> None:
        """Forget the id of a request that has not run, so it can be reused."""
        expiry_s_by_id = self._expiry_s.get(client_account_id, OrderedDict())
        if expiry_s_by_id.pop(request_id, None) is not None:
            self._count -= 1

    def _prune(self, client_account_id: str, now_s: float) -> None:
        if self._count >= self._max_total_count:
            account_ids = list(self._expiry_s)
        else:
            account_ids = [client_account_id]
        for account_id in account_ids:
            expiry_s_by_id = self._expiry_s.get(account_id, OrderedDict())
            while (
                expiry_s_by_id and next(iter(expiry_s_by_id.values())) <= now_s
            ):
                expiry_s_by_id.popitem(last=False)
                self._count -= 1
