"""Tests of usage rows, figures and windows."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.usage import decode_part
from dogwoodpost.core.usage import encode_part
from dogwoodpost.core.usage import first_window_to_keep_open
from dogwoodpost.core.usage import UsagePart
from dogwoodpost.core.usage import window_at
from dogwoodpost.core.usage import window_end_s
from dogwoodpost.ports.usage_reports import UsageFigures

ACCOUNT = ids.ClientAccountId('matting')


@pytest.mark.parametrize(
    'figures',
    [
        UsageFigures(),
        UsageFigures(request_count=3),
        UsageFigures(completion_tokens=2**40),
        UsageFigures(request_count=1, adjustment_prompt_tokens=7),
        UsageFigures(adjustment_completion_tokens=9),
    ],
)
def test_part_survives_its_row(figures: UsageFigures) -> None:
    """Guards against figures that are decoded into the wrong field."""
    part = UsagePart(figures={ACCOUNT: figures})
    assert decode_part(encode_part(part)) == part


@pytest.mark.parametrize(
    ('wall_s', 'window', 'keep_open'),
    [
        (0.0, 0, -1),
        (59.9, 0, 0),
        (60.0, 1, 0),
        (74.9, 1, 0),
        (75.0, 1, 1),
        (135.0, 2, 2),
    ],
)
def test_windows_close_after_the_grace_period(
    wall_s: float, window: int, keep_open: int
) -> None:
    """Guards against a window that closes while totals are being written."""
    assert window_at(wall_s, 60) == window
    assert first_window_to_keep_open(wall_s, 60, 15.0) == keep_open
    assert window_end_s(ids.UsageWindow(window), 60) > wall_s
