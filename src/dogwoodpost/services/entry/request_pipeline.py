"""Pipeline of admission, routing, attempts and retries."""

from __future__ import annotations

from contextlib import AbstractContextManager
from contextlib import aclosing
from contextlib import nullcontext
from typing import TYPE_CHECKING

from dogwoodpost.core.batches.client_activity import ClientActivity
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.retries import RetryPolicy
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.attempt_context import AttemptContext
from dogwoodpost.services.entry.hedger import Hedger
from dogwoodpost.services.entry.refusals import count_refusal
from dogwoodpost.services.entry.request_context import RequestContext
from dogwoodpost.services.entry.request_queue import RequestQueue
from dogwoodpost.services.entry.request_run import RequestRun

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.routing import Router
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptRunner
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.usage_recorder import UsageRecorder
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest


class RequestPipeline:
    """Runs the requests of callers and the samples of rollouts.

    :param current_configuration: returns the configuration in force, which
        limits the regions of each attempt; without one, nothing limits them.
    :param bills_begun_requests: record usage for each attempt that an endpoint
        may have run, in the window in which the attempt was sent, instead of
        for each completed request.
    :param policy: the policy in force, which switches hedging.
    :param stop_left_s: returns the time until a graceful shutdown cuts
        requests, infinite without one.
    :param loading_endpoints: endpoints that load weights and get no second
        attempts.
    """

    def __init__(
        self,
        *,
        runner: AttemptRunner,
        router: Router,
        admission: Admission,
        usage: UsageRecorder,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        retry_policy: RetryPolicy | None = None,
        current_configuration: Callable[[], Configuration] = Configuration,
        bills_begun_requests: bool = False,
        policy: PolicyHolder | None = None,
        stop_left_s: Callable[[float], float] | None = None,
        loading_endpoints: LoadingEndpoints | None = None,
    ) -> None:
        self.router = router
        self.admission = admission
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.policy = policy or PolicyHolder()
        self.client_activity = ClientActivity()
        attempts = AttemptContext(
            runner=runner,
            router=router,
            usage=usage,
            metrics=metrics,
            clock=clock,
            bills_begun_requests=bills_begun_requests,
        )
        self.response_buffer = attempts.response_buffer
        self._context = RequestContext(
            attempts=attempts,
            admission=admission,
            queue=RequestQueue(admission, router, clock),
            hedger=Hedger(
                attempts,
                admission,
                self.policy,
                stop_left_s=stop_left_s,
                loading_endpoints=loading_endpoints,
            ),
            rng=rng,
            retry_policy=retry_policy or RetryPolicy(),
            current_configuration=current_configuration,
        )

    async def execute(
        self,
        request: PipelineRequest,
        on_attempt: Callable[[ids.EndpointId], None] | None = None,
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the head, the body and the end of the response.

        Closing the iterator early cancels the request.

        :param on_attempt: called with the endpoint's id before each attempt.
        :raises RequestError: the request was refused or failed; the refusal
            metric already counts it.
        """
        run = RequestRun(self._context, request, on_attempt)
        try:
            with self._client_use(request):
                async with aclosing(run.events()) as events:
                    async for event in events:
                        yield event
        except RequestError as error:
            count_refusal(self.metrics, error)
            raise

    def _client_use(
        self, request: PipelineRequest
    ) -> AbstractContextManager[None]:
        """Count a client's request as use of its service."""
        if not request.is_client_request:
            return nullcontext()
        return self.client_activity.request(
            request.service.name, self.clock.monotonic_s
        )
