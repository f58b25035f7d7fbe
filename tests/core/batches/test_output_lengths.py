"""Expected lengths of outputs."""

from __future__ import annotations

from dogwoodpost.core.batches.output_lengths import OutputLengths


def test_a_long_output_is_known_when_it_comes_again() -> None:
    """Guards against steps that end with an item that was known to be long.

    Seen on scale-1 of Casa Verso: groups that came again held an item of 194
    events with a short estimate, which started last in each step.
    """
    lengths = OutputLengths()
    for _ in range(20):
        lengths.record(660, 10)
    assert lengths.expected_tokens(700, 0) == 700
    assert lengths.expected_tokens(700, 190) > 12_000


def test_an_estimate_stands_until_outputs_are_known() -> None:
    """Guards against orders by figures that nothing supports."""
    lengths = OutputLengths()
    lengths.record(None, 10)
    lengths.record(500, 0)
    assert lengths.expected_tokens(300, 190) == 300
    assert lengths.expected_tokens(None, 0) == 1_000


def test_what_is_left_counts_from_the_text_so_far() -> None:
    """Guards against items that are urgent for what they have already."""
    lengths = OutputLengths()
    assert lengths.events_left(1_000, 3) == 0.0
    lengths.record(1_000, 20)
    assert lengths.events_left(1_000, 5) == 15.0
    assert lengths.events_left(1_000, 30) == 0.0
