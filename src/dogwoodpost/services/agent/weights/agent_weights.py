"""Fetches weight versions to this host for load commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import PlatformError

if TYPE_CHECKING:
    from dogwoodpost.core import messages
    from dogwoodpost.services.agent.weights.weight_cache import WeightCache

_SHARD_PREFIX = 'weights/'


class AgentWeights:
    """Fetches a weight version to this host before an engine loads it.

    :param url: base URL of this agent's weights, for engines and agents.
    """

    def __init__(self, cache: WeightCache, url: str) -> None:
        self.url = url
        self._cache = cache

    async def fetch(self, command: messages.EndpointCommand) -> str:
        """Fetch the version that a command loads; return its local URL.

        :raises EndpointError: the shard has no weights, the argument is no
            version number, or every source failed.
        """
        if not command.shard.startswith(_SHARD_PREFIX):
            raise EndpointError(f'shard {command.shard} has no weights')
        if not command.argument.isdecimal():
            raise EndpointError(f'{command.argument!r} is no weight version')
        model = ids.ModelName(command.shard.removeprefix(_SHARD_PREFIX))
        version = ids.WeightVersion(int(command.argument))
        try:
            await self._cache.get_or_fetch(model, version, command.fetch_from)
        except PlatformError as error:
            raise EndpointError(f'weights: {error}') from error
        return f'{self.url}/weights/{model}/{version}'
