"""Weight version that generated an event of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from dogwoodpost.core import ids


def event_version(
    named: ids.WeightVersion | None, previous: ids.WeightVersion | None
) -> ids.WeightVersion:
    """Return the version of an event, which may differ from the one before.

    :param named: version that the event itself names.
    :param previous: version of the event before it or of the response's head.
    :raises EndpointError: none of them names a version.
    """
    version = previous if named is None else named
    if version is None:
        raise EndpointError(
            'neither the event nor its response names a weight version'
        )
    return version
