"""Checks the JSON body of a request to an engine."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import estimated_cost_tokens
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.routing import prefix_hashes
from dogwoodpost.core.routing import prompt_bytes
from dogwoodpost.core.routing import TYPICAL_BYTES_PER_TOKEN
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import RequestError

# Callers can reach no other paths of an engine, in particular none of its
# control paths.
COMPLETIONS_PATH = '/v1/completions'
CHAT_PATH = '/v1/chat/completions'
ENGINE_PATHS = (COMPLETIONS_PATH, CHAT_PATH)
# Assumed in the cost estimate if a request has no max_tokens.
_DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS_LIMIT = 1_000_000
_MAX_CHOICE_COUNT = 64


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a request to an engine that the entry uses.

    :param document: the whole JSON body.
    :param prefix: hashes of the prompt's prefix blocks.
    :param prompt_tokens: estimated from the length of the prompt.
    :param cost_tokens: estimated cost of the prompt and the response.
    """

    document: dict[str, Any]
    model: str
    stream: bool
    min_weight_version: ids.WeightVersion | None
    prefix: tuple[int, ...]
    prompt_tokens: int
    cost_tokens: float

    def body(self, priority: int) -> bytes:
        """Return the body for the engine, with the route's priority.

        Encoding the document again removes duplicate names, which two parsers
        could read differently, and replaces a priority set by the caller.
        """
        return msgspec.json.encode({**self.document, 'priority': priority})


def parse_completion(path: str, body: bytes) -> CompletionRequest:
    """Parse and check the body of a request to an engine.

    :param path: one of ``ENGINE_PATHS``.

    :raises RequestError: the body is malformed.
    """
    try:
        document = decode_json(body, object)
    except MalformedDataError:
        raise _malformed('the body is not valid JSON') from None
    if not isinstance(document, dict):
        raise _malformed('the body is not a JSON object')
    _check_prompt(path, document)
    model = document.get('model')
    if not isinstance(model, str) or not model:
        raise _malformed('model is not a non-empty string')
    stream = document.get('stream', False)
    if not isinstance(stream, bool):
        raise _malformed('stream is not a boolean')
    version = _optional_integer(
        document, 'min_weight_version', None, 0, 2**63 - 1
    )
    choice_count = (
        _optional_integer(document, 'n', 1, 1, _MAX_CHOICE_COUNT) or 1
    )
    max_tokens = _optional_integer(
        document, 'max_tokens', _DEFAULT_MAX_TOKENS, 1, _MAX_TOKENS_LIMIT
    )
    prompt = prompt_bytes(document)
    prompt_tokens = len(prompt) // TYPICAL_BYTES_PER_TOKEN
    return CompletionRequest(
        document=document,
        model=model,
        stream=stream,
        min_weight_version=(
            None if version is None else ids.WeightVersion(version)
        ),
        prefix=prefix_hashes(prompt),
        prompt_tokens=prompt_tokens,
        cost_tokens=estimated_cost_tokens(
            prompt_tokens, (max_tokens or 0) * choice_count
        ),
    )


def _check_prompt(path: str, document: dict[str, Any]) -> None:
    if path == COMPLETIONS_PATH:
        if not isinstance(document.get('prompt'), str):
            raise _malformed('prompt is not a string')
        return
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _malformed('messages is not a non-empty list')
    for message in messages:
        if not isinstance(message, dict):
            raise _malformed('a message is not an object')
        if not isinstance(message.get('role'), str):
            raise _malformed('the role of a message is not a string')


def _optional_integer(
    document: dict[str, Any],
    name: str,
    default: int | None,
    minimum: int,
    maximum: int,
) -> int | None:
    value = document.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise _malformed(f'{name} is not an integer')
    if not minimum <= value <= maximum:
        raise _malformed(f'{name} is not from {minimum} to {maximum}')
    return value


def _malformed(message: str) -> RequestError:
    return RequestError('malformed_request', message, status=400, not_run=True)
