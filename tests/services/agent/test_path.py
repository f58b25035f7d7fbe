"""A request from the entry through the agent to its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.standins.engine import completion_text
from tests.fakes.site import make_spec

if TYPE_CHECKING:
    from tests.fakes.site import Site


async def test_response_arrives_whole(site: Site) -> None:
    """Guards against a path that loses or mixes up responses."""
    head, *pieces, end = await site.entry.run('engine-1', make_spec('one'))
    assert head.status == 200
    body = b''.join(
        piece.data for piece in pieces if isinstance(piece, AttemptData)
    )
    document = msgspec.json.decode(body)
    assert document['choices'][0]['text'] == completion_text('one', 16)
    assert end.outcome is AttemptOutcome.COMPLETED
    assert end.completion_tokens == 16
    assert end.weight_versions == (1,)
