"""Text of an item, assembled from the streams of its runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.item_progress import ItemProgress
from dogwoodpost.core.streams.event_version import event_version
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.stream_event import StreamEvent


# Encoded in Base64, a result of this size fits into a transaction of 1 MB.
_MAX_TEXT_BYTES = 700_000
# An integer in MessagePack.
_VERSION_BYTES = 9


class ItemText:
    """Events of an item in order, with the weight version of each.

    :param max_event_count: maximum number of events, None without a limit.
        Each event holds at least one token, so the maximum number of tokens
        that a request names is also a limit for its events.
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
        """Return the id after which a run resumes, None without events."""
        return self._last_id

    @property
    def event_count(self) -> int:
        """Return the number of events."""
        return len(self._data)

    def clear(self) -> None:
        """Discard all events; the next run starts from the beginning."""
        self._data.clear()
        self._size_bytes = 0
        self._versions.clear()
        self._last_id = None

    def begin_run(self, version: ids.WeightVersion | None) -> None:
        """Set the weight version that a run starts with.

        :param version: None if the run's response names no version, because
            nothing is left to generate.
        """
        self._run_version = version

    def add(self, event: StreamEvent) -> None:
        """Append the next event.

        :raises EndpointError: an event is missing or repeated, its weight
            version is unknown, or the text exceeds its maximum length.
        """
        if self._last_id is not None and event.event_id != self._last_id + 1:
            raise EndpointError("an event's id does not follow the last one")
        is_new_version = event.weight_version not in {None, self._run_version}
        version = event_version(event.weight_version, self._run_version)
        self._run_version = version
        self._check_size(event, is_new_version=is_new_version)
        self._last_id = event.event_id
        self._data.append(event.data)
        self._versions.append(version)

    def progress(
        self, item_id: ids.ItemId, *, is_complete: bool = False
    ) -> ItemProgress | None:
        """Return the events received so far, None without any."""
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
        """Replace the contents by the events of earlier runs."""
        self._data = list(progress.events)
        self._size_bytes = sum(map(_event_size_bytes, self._data))
        self._size_bytes += _VERSION_BYTES * len(set(progress.versions))
        self._versions = list(progress.versions)
        self._last_id = progress.last_event_id

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return '\n'.join(self._data)

    def versions(self) -> tuple[ids.WeightVersion, ...]:
        """Return the distinct weight versions of the events, in order."""
        return tuple(sorted(set(self._versions)))

    def has_allowed_versions(
        self, min_version: ids.WeightVersion | None, *, single_version: bool
    ) -> bool:
        """Return whether the weight versions are allowed in a result.

        :param min_version: oldest allowed version, None without a limit.
        :param single_version: whether all events must have one version.
        """
        versions = self.versions()
        if single_version and len(versions) > 1:
            return False
        if min_version is None or not versions:
            return True
        return versions[0] >= min_version

    def _check_size(self, event: StreamEvent, *, is_new_version: bool) -> None:
        """Add an event's size; discard the text if it becomes too long.

        :param is_new_version: whether the result may name one more version.
        :raises EndpointError: the text exceeds its maximum length.
        """
        self._size_bytes += _event_size_bytes(event.data)
        self._size_bytes += _VERSION_BYTES * is_new_version
        limit = self._max_event_count
        has_room = limit is None or len(self._data) < limit
        if has_room and self._size_bytes <= _MAX_TEXT_BYTES:
            return
        count = len(self._data)
        self.clear()
        raise EndpointError(
            f'text exceeds its maximum length after {count} events'
        )


def _event_size_bytes(data: str) -> int:
    """Return the size of an event in a text, with its line feed."""
    return len(data.encode()) + 1
