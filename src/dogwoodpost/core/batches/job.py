"""Batch jobs and their items."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class ScorerCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the scorer for the score of an item's text."""

    request_id: ids.RequestId
    host: str
    path: str
    body: bytes


class BatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a batch job.

    :param token_count: prompt tokens plus maximum output tokens.
    :param expected_token_count: estimated output tokens, None if unknown.
    """

    item_id: ids.ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    token_count: int
    expected_token_count: int | None = None
    group_id: ids.GroupId | None = None
    scorer: ScorerCall | None = None


class BatchJob(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as it was accepted; immutable.

    :param route_name: route by which it was submitted; with the client
        account it decides in which regions the job may be kept.
    :param accepted_wall_s: time of acceptance in seconds since the Unix
        epoch, by the clock of the host that accepted the job.
    :param due_s: seconds after acceptance when the results are due.
    :param item_lifetime_s: seconds after acceptance when an unfinished item
        may be given up.
    :param max_attempt_count: number of endpoints at which an item may fail.
    :param min_version: oldest weight version that may generate tokens of the
        job.
    :param desired_group_count: number of complete groups that the reader
        waits for, None if it waits for all items.
    :param single_version: whether each text must come from a single weight
        version.
    """

    job_id: ids.JobId
    host: str
    client_account_id: ids.ClientAccountId | None
    accepted_wall_s: float
    due_s: float
    item_lifetime_s: float
    max_attempt_count: int
    items: tuple[BatchItem, ...]
    step: int | None = None
    model: ids.ModelName | None = None
    min_version: ids.WeightVersion | None = None
    desired_group_count: int | None = None
    single_version: bool = False
    route_name: ids.RouteName = ids.RouteName('')
