"""Runs samples of rollouts through the request pipeline."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import estimated_cost_tokens
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.decoding import convert_value
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.routing import prefix_hashes
from dogwoodpost.core.routing import TYPICAL_BYTES_PER_TOKEN
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.sample_dispatcher import SampleDispatcher
from dogwoodpost.ports.sample_dispatcher import SampleRequest
from dogwoodpost.ports.sample_dispatcher import SampleResult
from dogwoodpost.ports.sample_dispatcher import TokenSegment
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.refusals import count_refusal

if TYPE_CHECKING:
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline

_PATH = '/v1/completions'
_JSON_HEADERS = (('Content-Type', 'application/json'),)
_STATUS_OK = 200
_MS_PER_S = 1_000.0


class _Response(msgspec.Struct, kw_only=True):
    """The response that the pipeline yielded for a sample."""

    status: int = 0
    endpoint_id: ids.EndpointId | None = None
    body: bytearray = msgspec.field(default_factory=bytearray)
    end: AttemptEnd | None = None


class PipelineSampleDispatcher(SampleDispatcher):
    """Runs samples through admission, routing and retries.

    All samples of a service share a retry budget of their own, so that their
    retries can't exhaust the budgets of the callers' routes.
    """

    def __init__(
        self, pipeline: RequestPipeline, configuration: ConfigurationSource
    ) -> None:
        self._pipeline = pipeline
        self._configuration = configuration
        self._running: dict[ids.SampleId, asyncio.Task[_Response]] = {}

    async def generate(self, request: SampleRequest) -> SampleResult:
        """Run a sample until it completes or reaches its time limit.

        :raises RequestError: the sample was refused or failed.
        """
        try:
            response = await self._run(request)
            return self._result(request, response)
        except RequestError as error:
            count_refusal(self._pipeline.metrics, error)
            raise

    async def cancel(self, sample_id: ids.SampleId) -> None:
        """Cancel a running sample; an unknown id is ignored."""
        task = self._running.get(sample_id)
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    async def _run(self, request: SampleRequest) -> _Response:
        if request.sample_id in self._running:
            raise RequestError(
                'duplicate_sample_id',
                'a sample with this id is running',
                status=409,
            )
        pipeline_request = self._pipeline_request(request)
        task = asyncio.create_task(self._collect(pipeline_request))
        self._running[request.sample_id] = task
        try:
            await asyncio.wait([task])
        finally:
            del self._running[request.sample_id]
            task.cancel()
        if task.cancelled():
            raise RequestError(
                'sample_cancelled', 'the sample was cancelled', status=499
            )
        return task.result()

    async def _collect(self, request: PipelineRequest) -> _Response:
        response = _Response()

        def attempt_started(endpoint_id: ids.EndpointId) -> None:
            response.endpoint_id = endpoint_id

        events = self._pipeline.execute(request, on_attempt=attempt_started)
        async with aclosing(events):
            async for event in events:
                if isinstance(event, AttemptHead):
                    response.status = event.status
                elif isinstance(event, AttemptData):
                    response.body += event.data
                else:
                    response.end = event
        return response

    def _pipeline_request(self, request: SampleRequest) -> PipelineRequest:
        configuration = self._configuration.current()
        service = configuration.services.get(request.service)
        account = configuration.client_accounts.get(request.client_account_id)
        if service is None or service.kind is not ServiceKind.ENGINE:
            raise RequestError(
                'unknown_service',
                f'{request.service} is not an engine service',
                status=404,
                not_run=True,
            )
        if account is not None and not account.enabled:
            raise RequestError(
                'client_account_disabled',
                'the client account is disabled',
                status=403,
                not_run=True,
            )
        prompt = (request.prompt + request.resume_text).encode(
            'utf-8', 'replace'
        )
        prompt_tokens = len(prompt) // TYPICAL_BYTES_PER_TOKEN
        return PipelineRequest(
            request_id=ids.RequestId(request.sample_id),
            route=_sample_route(service, request),
            service=service,
            client_account_id=request.client_account_id,
            limits=account.limits if account else Limits(),
            method='POST',
            path=_PATH,
            headers=_JSON_HEADERS,
            body=_body(request, service, prompt.decode()),
            timeout_s=request.timeout_s,
            priority=request.priority,
            prefix=prefix_hashes(prompt),
            prompt_tokens=prompt_tokens,
            cost_tokens=estimated_cost_tokens(
                prompt_tokens, request.max_tokens
            ),
            min_weight_version=request.min_weight_version,
            excluded=frozenset(request.avoid),
            whole_response=True,
        )

    def _result(
        self, request: SampleRequest, response: _Response
    ) -> SampleResult:
        if response.status != _STATUS_OK or response.endpoint_id is None:
            raise RequestError(
                'endpoint_failed',
                f'the endpoint answered with status {response.status}',
                status=502,
            )
        document = _decode(bytes(response.body))
        choice = document['choices'][0]
        completed = (
            response.end is not None
            and response.end.outcome is AttemptOutcome.COMPLETED
        )
        return SampleResult(
            sample_id=request.sample_id,
            endpoint_id=response.endpoint_id,
            completion=choice['text'],
            segments=_segments(document),
            # A sample that reached the token limit of this request can be
            # continued.
            finished=completed
            and choice.get('finish_reason') not in (None, 'length'),
        )


def _sample_route(service: Service, request: SampleRequest) -> Route:
    return Route(
        name=ids.RouteName(f'samples/{service.name}'),
        service=service.name,
        path_prefix=_PATH,
        timeout_ms=int(request.timeout_s * _MS_PER_S),
        priority=request.priority,
    )


def _body(request: SampleRequest, service: Service, prompt: str) -> bytes:
    document: dict[str, Any] = {
        'model': service.model or '',
        'prompt': prompt,
        'max_tokens': request.max_tokens,
        'stream': False,
        'priority': request.priority,
    }
    if request.min_weight_version is not None:
        document['min_weight_version'] = request.min_weight_version
    return msgspec.json.encode(document)


def _decode(body: bytes) -> dict[str, Any]:
    """Return the response document.

    :raises RequestError: the body does not follow the engine protocol.
    """
    try:
        document = decode_json(body, dict[str, Any])
        text = document['choices'][0]['text']
    except (MalformedDataError, KeyError, IndexError, TypeError):
        text = None
    if not isinstance(text, str):
        raise RequestError(
            'endpoint_failed',
            'the endpoint did not answer with a completion',
            status=502,
        )
    result: dict[str, Any] = document
    return result


def _segments(document: dict[str, Any]) -> tuple[TokenSegment, ...]:
    """Return the weight segments, or an empty tuple if they are unreliable.

    They are reliable only if they are well-formed and their token counts add
    up to that of the completion.
    """
    try:
        segments = convert_value(
            document.get('weight_segments'), tuple[TokenSegment, ...]
        )
        token_count = document['usage']['completion_tokens']
    except (MalformedDataError, KeyError, TypeError):
        return ()
    counts = [segment.token_count for segment in segments]
    if any(count <= 0 for count in counts) or sum(counts) != token_count:
        return ()
    return segments
