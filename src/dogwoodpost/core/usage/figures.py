"""Arithmetic on usage figures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.ports.usage_reports import UsageFigures

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core import ids

_NO_USAGE = UsageFigures()


def add(left: UsageFigures, right: UsageFigures) -> UsageFigures:
    """Return the field-by-field sum."""
    return UsageFigures(
        request_count=left.request_count + right.request_count,
        prompt_tokens=left.prompt_tokens + right.prompt_tokens,
        completion_tokens=left.completion_tokens + right.completion_tokens,
        adjustment_request_count=left.adjustment_request_count
        + right.adjustment_request_count,
        adjustment_prompt_tokens=left.adjustment_prompt_tokens
        + right.adjustment_prompt_tokens,
        adjustment_completion_tokens=left.adjustment_completion_tokens
        + right.adjustment_completion_tokens,
    )


def remainder_as_adjustment(
    total: UsageFigures, written: UsageFigures
) -> UsageFigures:
    """Return the unwritten usage, as an adjustment of a later window.

    :param total: all usage that was counted.
    :param written: the part of it that is in the table.
    """
    return UsageFigures(
        adjustment_request_count=_sum_of_requests(total)
        - _sum_of_requests(written),
        adjustment_prompt_tokens=_sum_of_prompt_tokens(total)
        - _sum_of_prompt_tokens(written),
        adjustment_completion_tokens=_sum_of_completion_tokens(total)
        - _sum_of_completion_tokens(written),
    )


def merge(
    parts: Iterable[Mapping[ids.ClientAccountId, UsageFigures]],
) -> dict[ids.ClientAccountId, UsageFigures]:
    """Return the sum of several parts per client account."""
    merged: dict[ids.ClientAccountId, UsageFigures] = {}
    for part in parts:
        for client_account_id, figures in part.items():
            previous = merged.get(client_account_id, _NO_USAGE)
            merged[client_account_id] = add(previous, figures)
    return merged


def _sum_of_requests(figures: UsageFigures) -> int:
    return figures.request_count + figures.adjustment_request_count


def _sum_of_prompt_tokens(figures: UsageFigures) -> int:
    return figures.prompt_tokens + figures.adjustment_prompt_tokens


def _sum_of_completion_tokens(figures: UsageFigures) -> int:
    return figures.completion_tokens + figures.adjustment_completion_tokens
