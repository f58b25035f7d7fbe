"""Decoder for the event streams of engines."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.core.batches import StreamEvent
from dogwoodpost.core.decoding import parse_integer
from dogwoodpost.core.streams import event_fields
from dogwoodpost.core.streams import EventSplitter
from dogwoodpost.core.streams import is_comment
from dogwoodpost.core.streams import parse_event_id
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.platform.header_names import WEIGHT_VERSION

_VERSION_FIELD = WEIGHT_VERSION.lower().encode()


class EventDecoder:
    """Decodes a byte stream into events and buffers incomplete ones."""

    def __init__(self) -> None:
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        :raises EndpointError: an event is malformed or too long.
        """
        blocks = self._splitter.feed(data)
        return [
            _decode_event(block) for block in blocks if not is_comment(block)
        ]

    def finish(self) -> None:
        """Check that the stream does not end in the middle of an event.

        :raises EndpointError: the last event is incomplete.
        """
        self._splitter.finish()


def _decode_event(block: bytes) -> StreamEvent:
    """Return the event of a block.

    :raises EndpointError: the event is malformed or has no id.
    """
    event_id: int | None = None
    version: ids.WeightVersion | None = None
    data: list[str] = []
    try:
        for name, value in event_fields(block):
            if name == b'id':
                event_id = parse_event_id(value)
            elif name == b'data':
                data.append(value.decode())
            elif name.lower() == _VERSION_FIELD:
                version = ids.WeightVersion(parse_integer(value.decode()))
    except MalformedDataError as error:
        raise EndpointError('malformed event: no weight version') from error
    except UnicodeDecodeError as error:
        # The text of the error quotes the bytes.
        raise EndpointError('malformed event: not in UTF-8') from error
    if event_id is None:
        raise EndpointError('malformed event: it has no id')
    return StreamEvent(
        event_id=event_id, data='\n'.join(data), weight_version=version
    )
