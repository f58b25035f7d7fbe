"""Weight versions that the text of a batch item may have."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemText
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.endpoint_slot import EndpointSlot

# How long an endpoint whose weights are too old gets no new items of the
# model.
_OLD_VERSION_BLOCK_S = 0.25


class ItemVersions:
    """Checks the versions of an item's text and of the replies for it."""

    def __init__(
        self, context: BatchContext, job: BatchJob, text: ItemText
    ) -> None:
        self._context = context
        self._job = job
        self._text = text

    def are_allowed(self) -> bool:
        """Return whether the job allows the versions of the text."""
        return self._text.has_allowed_versions(
            self._job.min_version, single_version=self._job.single_version
        )

    def clear_unusable_text(self, slot: EndpointSlot) -> None:
        """Clear the text unless its versions allow continuing it at a slot."""
        version = slot.endpoint.version_of(self._job.model)
        versions = self._text.versions()
        if not self.are_allowed() or (versions and versions != (version,)):
            self._text.clear()

    def accept_reply(
        self, slot: EndpointSlot, version: ids.WeightVersion | None
    ) -> bool:
        """Return whether the job allows the weight version of a reply.

        :param version: version that the reply names, None if it names none.
        """
        if version is None:
            # The reply names no version if all events were received before.
            self._text.begin_run(None)
            return True
        if self._job.model is not None:
            self._context.endpoints.note_versions(
                slot.endpoint.endpoint_id,
                slot.endpoint.agent_incarnation,
                {self._job.model: version},
                self._context.clock.monotonic_s(),
            )
        if self._job.min_version and version < self._job.min_version:
            self._context.dispatcher.block(
                slot.endpoint.endpoint_id,
                self._job.model,
                _OLD_VERSION_BLOCK_S,
            )
            return False
        text_versions = self._text.versions()
        if (
            self._job.single_version
            and text_versions
            and text_versions != (version,)
        ):
            self._text.clear()
            return False
        self._text.begin_run(version)
        return True
