"""The text of an item, put together from the runs of its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.item_progress import ItemProgress
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.stream_event import StreamEvent


# A transaction of 1 MB holds it in Base64.
_MAX_TEXT_BYTES = 700_000


class ItemText:
    """Events in order, with the weight version of each.

    :param max_event_count: events hold a token at least, and a request names
        its most tokens; None without a limit.
    """

    def __init__(self, max_event_count: int | None = None) -> None:
        self._max_event_count = max_event_count
        self._size_bytes = 0
        self._data: list[str] = []
        self._versions: list[ids.WeightVersion] = []
        self._last_id: int | None = None
        self._run_version: ids.WeightVersion | None = None

    @property
    def last_event_id(self) -> int | None:
        """Return what a resumed run goes on after, None without events."""
        return self._last_id

    @property
    def event_count(self) -> int:
        """Return the number of events."""
        return len(self._data)

    def clear(self) -> None:
        """Drop all events; the next run starts from the beginning."""
        self._data.clear()
        self._size_bytes = 0
        self._versions.clear()
        self._last_id = None

    def begin_run(self, version: ids.WeightVersion | None) -> None:
        """Note the weight version that a run starts with.

        None where a run names none, because it has nothing left to generate.
        """
        self._run_version = version

    def add(self, event: StreamEvent) -> None:
        """Append the next event.

        :raises EndpointError: an event is missing or stands twice, or the
            text has become longer than it can be.
        """
        if self._last_id is not None and event.event_id != self._last_id + 1:
            raise EndpointError(
                f'event {event.event_id} follows event {self._last_id}'
            )
        if event.weight_version is not None:
            self._run_version = event.weight_version
        if self._run_version is None:
            raise EndpointError('the weight version of an event is unknown')
        self._check_size(event)
        self._last_id = event.event_id
        self._data.append(event.data)
        self._versions.append(self._run_version)

    def progress(
        self, item_id: ids.ItemId, *, is_complete: bool = False
    ) -> ItemProgress | None:
        """Return the events so far, None without any."""
        if self._last_id is None:
            return None
        return ItemProgress(
            item_id=item_id,
            events=tuple(self._data),
            versions=tuple(self._versions),
            last_event_id=self._last_id,
            is_complete=is_complete,
        )

    def restore(self, progress: ItemProgress) -> None:
        """Go on from the events of earlier runs."""
        self._data = list(progress.events)
        self._size_bytes = sum(len(data.encode()) for data in self._data)
        self._versions = list(progress.versions)
        self._last_id = progress.last_event_id

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return '\n'.join(self._data)

    def versions(self) -> tuple[ids.WeightVersion, ...]:
        """Return the weight versions of the events, without repeats."""
        return tuple(sorted(set(self._versions)))

    def has_allowed_versions(
        self, min_version: ids.WeightVersion | None, *, single_version: bool
    ) -> bool:
        """Return whether the events so far may be part of a result."""
        versions = self.versions()
        if single_version and len(versions) > 1:
            return False
        if min_version is None or not versions:
            return True
        return versions[0] >= min_version

    def _check_size(self, event: StreamEvent) -> None:
        """Take an event's size; a text that is too long is dropped.

        :raises EndpointError: the text is too long.
        """
        self._size_bytes += len(event.data.encode())
        limit = self._max_event_count
        has_room = limit is None or len(self._data) < limit
        if has_room and self._size_bytes <= _MAX_TEXT_BYTES:
            return
        count = len(self._data)
        self.clear()
        raise EndpointError(f'the stream goes on after {count} events')
