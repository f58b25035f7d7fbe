"""What a trainer asks for."""

from __future__ import annotations

import msgspec
import xxhash

from dogwoodpost.core import ids
from dogwoodpost.core.findings import Finding
from dogwoodpost.core.rollouts.staleness_bound import StalenessBound

MAX_SLOT_COUNT = 65_536
MAX_NAME_LENGTH = 128


class StepSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A step: one group of samples for each prompt.

    ``max_version_lag`` is how many versions the oldest token of a sample may
    be behind, ``max_age_s`` how long ago its generation may have begun, both
    at delivery. ``deadline_s`` counts from submission.
    """

    step_id: ids.StepId
    trainer_id: ids.TrainerId
    client_account_id: ids.ClientAccountId
    service: ids.ServiceName
    prompts: tuple[str, ...]
    samples_per_group: int
    max_tokens: int
    max_version_lag: int
    deadline_s: float
    max_age_s: float | None = None

    @property
    def slot_count(self) -> int:
        """Return the number of samples of the step."""
        return len(self.prompts) * self.samples_per_group

    @property
    def digest(self) -> str:
        """Return what tells a repeated submission from a different one."""
        return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(self))

    @property
    def bound(self) -> StalenessBound:
        """Return the staleness bound of the samples."""
        return StalenessBound(
            max_version_lag=self.max_version_lag, max_age_s=self.max_age_s
        )

    def findings(self) -> list[Finding]:
        """Return everything that is wrong with the specification."""
        found = []
        for name, value in (
            ('step_id', self.step_id),
            ('trainer_id', self.trainer_id),
        ):
            if not _is_name(value):
                expected = f'1 to {MAX_NAME_LENGTH} of A-Z a-z 0-9 . _ -'
                found.append(Finding(name, repr(value), expected))
        for field in ('samples_per_group', 'max_tokens', 'deadline_s'):
            number = getattr(self, field)
            if not number > 0:
                found.append(Finding(field, repr(number), 'more than 0'))
        if self.max_version_lag < 0:
            lag = repr(self.max_version_lag)
            found.append(Finding('max_version_lag', lag, '0 or more'))
        if self.max_age_s is not None and not self.max_age_s > 0:
            age = repr(self.max_age_s)
            found.append(Finding('max_age_s', age, 'more than 0'))
        if not 0 < self.slot_count <= MAX_SLOT_COUNT:
            size = f'{self.slot_count} samples'
            found.append(Finding('prompts', size, f'1 to {MAX_SLOT_COUNT}'))
        return found


def _is_name(value: str) -> bool:
    allowed = value.replace('.', '').replace('_', '').replace('-', '')
    return (
        0 < len(value) <= MAX_NAME_LENGTH
        and value.isascii()
        and allowed.isalnum()
    )
