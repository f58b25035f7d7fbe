"""Expected output lengths of batch items."""

from __future__ import annotations

from dogwoodpost.core.batches.output_lengths import OutputLengths


def test_an_earlier_long_output_raises_the_estimate() -> None:
    """Guards against steps that end late because of a known long item.

    On scale-1 of Casa Verso, groups that were submitted again held an item of
    194 events with a short estimate, which started last in each step.
    """
    lengths = OutputLengths()
    for _ in range(20):
        lengths.record(660, 10)
    assert lengths.expected_tokens(700, 0) == 700
    assert lengths.expected_tokens(700, 190) > 12_000


def test_estimates_are_unchanged_until_outputs_are_recorded() -> None:
    """Guards against ordering items by lengths that no output supports."""
    lengths = OutputLengths()
    lengths.record(None, 10)
    lengths.record(500, 0)
    assert lengths.expected_tokens(300, 190) == 300
    assert lengths.expected_tokens(None, 0) == 1_000


def test_events_left_exclude_the_events_received_so_far() -> None:
    """Guards against urgency for output that is generated already."""
    lengths = OutputLengths()
    assert lengths.events_left(1_000, 3) == 0.0
    lengths.record(1_000, 20)
    assert lengths.events_left(1_000, 5) == 15.0
    assert lengths.events_left(1_000, 30) == 0.0
