"""Port: runs one sample on an engine, subject to routing and limits."""

from __future__ import annotations

import abc

import msgspec

from dogwoodpost.core import ids


class TokenSegment(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens produced by one weight version."""

    weight_version: ids.WeightVersion
    token_count: int


class SampleRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One sample to generate.

    :param max_tokens: largest number of tokens to generate.
    :param timeout_s: time limit in seconds.
    :param resume_text: partial completion to continue.
    :param avoid: endpoints that should not run the sample.
    """

    sample_id: ids.SampleId
    trainer_id: ids.TrainerId
    client_account_id: ids.ClientAccountId
    service: ids.ServiceName
    prompt: str
    max_tokens: int
    timeout_s: float
    priority: int = 0
    min_weight_version: ids.WeightVersion | None = None
    resume_text: str = ''
    avoid: tuple[ids.EndpointId, ...] = ()


class SampleResult(msgspec.Struct, frozen=True, kw_only=True):
    """A generated sample.

    ``segments`` is empty if the engine did not report its versions with
    certainty; such a sample must be discarded.
    """

    sample_id: ids.SampleId
    endpoint_id: ids.EndpointId
    completion: str
    segments: tuple[TokenSegment, ...]
    finished: bool


class SampleDispatcher(abc.ABC):
    """Dispatches samples to engines."""

    @abc.abstractmethod
    async def generate(self, request: SampleRequest) -> SampleResult:
        """Run a sample until it is complete or its time limit is reached.

        :raises RequestError: the sample was refused or failed.
        """

    @abc.abstractmethod
    async def cancel(self, sample_id: ids.SampleId) -> None:
        """Cancel a running sample; an unknown id has no effect."""
