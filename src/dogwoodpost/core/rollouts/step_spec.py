"""Specification of a step that a trainer submits."""

from __future__ import annotations

import msgspec
import xxhash

from dogwoodpost.core import ids
from dogwoodpost.core.findings import Finding
from dogwoodpost.core.rollouts.staleness_bound import StalenessBound

MAX_SLOT_COUNT = 65_536
MAX_ID_LENGTH = 128


class StepSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A step: one group of samples for each prompt.

    At delivery, the oldest token of a sample may be at most
    ``max_version_lag`` versions behind the current one, and its generation
    may have begun at most ``max_age_s`` ago. ``deadline_s`` counts from
    submission.
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
        """Return a hash by which a repeated submission is recognized."""
        return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(self))

    @property
    def staleness_bound(self) -> StalenessBound:
        """Return the staleness bound of the samples."""
        return StalenessBound(
            max_version_lag=self.max_version_lag, max_age_s=self.max_age_s
        )

    def findings(self) -> list[Finding]:
        """Return all invalid values of the specification."""
        problems = []
        for name, value in (
            ('step_id', self.step_id),
            ('trainer_id', self.trainer_id),
        ):
            if not _is_valid_id(value):
                expected = f'1 to {MAX_ID_LENGTH} of A-Z a-z 0-9 . _ -'
                problems.append(Finding(name, repr(value), expected))
        for field in ('samples_per_group', 'max_tokens', 'deadline_s'):
            number = getattr(self, field)
            if not number > 0:
                problems.append(Finding(field, repr(number), 'more than 0'))
        if self.max_version_lag < 0:
            lag = repr(self.max_version_lag)
            problems.append(Finding('max_version_lag', lag, '0 or more'))
        if self.max_age_s is not None and not self.max_age_s > 0:
            age = repr(self.max_age_s)
            problems.append(Finding('max_age_s', age, 'more than 0'))
        if not 0 < self.slot_count <= MAX_SLOT_COUNT:
            size = f'{self.slot_count} samples'
            problems.append(Finding('prompts', size, f'1 to {MAX_SLOT_COUNT}'))
        return problems


def _is_valid_id(value: str) -> bool:
    allowed = value.replace('.', '').replace('_', '').replace('-', '')
    return (
        0 < len(value) <= MAX_ID_LENGTH
        and value.isascii()
        and allowed.isalnum()
    )
