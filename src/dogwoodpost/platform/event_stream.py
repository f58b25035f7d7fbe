"""Decoder for the event streams of engines."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.core.batches import StreamEvent
from dogwoodpost.core.decoding import parse_integer
from dogwoodpost.core.streams import EventSplitter
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.platform.header_names import WEIGHT_VERSION

_VERSION_FIELD = WEIGHT_VERSION.lower()


class EventDecoder:
    """Decodes a byte stream into events and buffers incomplete ones."""

    def __init__(self) -> None:
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        :raises EndpointError: an event is malformed or too long.
        """
        blocks = self._splitter.feed(data)
        events = (_decode_event(block) for block in blocks if block.strip())
        return [event for event in events if event is not None]

    def finish(self) -> None:
        """Check that the stream does not end in the middle of an event.

        :raises EndpointError: the last event is incomplete.
        """
        self._splitter.finish()


def _decode_event(block: bytes) -> StreamEvent | None:
    """Return the event of a block, or None for a comment.

    :raises EndpointError: the event is malformed or has no id.
    """
    event_id: int | None = None
    version: ids.WeightVersion | None = None
    data: list[str] = []
    try:
        for line in block.decode().split('\n'):
            name, _, value = line.rstrip('\r').partition(':')
            value = value.removeprefix(' ')
            if name == 'id':
                event_id = parse_integer(value)
            elif name == 'data':
                data.append(value)
            elif name.lower() == _VERSION_FIELD:
                version = ids.WeightVersion(parse_integer(value))
    except (MalformedDataError, UnicodeDecodeError) as error:
        raise EndpointError(f'malformed event: {error}') from error
    if event_id is None:
        if not data:
            return None
        raise EndpointError('event with data has no id')
    return StreamEvent(
        event_id=event_id, data='\n'.join(data), weight_version=version
    )
