"""Parsing and validation of completion requests."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core.routing import prompt_bytes
from dogwoodpost.standins.engine.engine_refusal import EngineRefusal


class _Body(msgspec.Struct, kw_only=True):
    model: str = ''
    prompt: str | None = None
    messages: list[dict[str, Any]] | None = None
    max_tokens: int | None = None
    stream: bool = False
    n: int = 1
    priority: int | None = None
    min_weight_version: int | None = None
    resume_text: str = ''
    partial_on_timeout: bool = False


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated completion request.

    ``text`` is the prompt followed by the partial text to resume from.
    ``prefix_bytes`` are the bytes that block hashes cover.
    ``completion_separator`` separates them from the completion when the
    completion becomes part of a later prompt.
    """

    request_id: str
    is_chat: bool
    model: str
    text: str
    prefix_bytes: bytes
    completion_separator: bytes
    max_tokens: int | None
    stream: bool
    priority: int
    min_weight_version: int | None
    partial_on_timeout: bool
    timeout_s: float | None

    @property
    def token_count(self) -> int:
        """Return the number of prompt tokens."""
        return len(self.text.split())


def read_completion(
    body: bytes,
    *,
    is_chat: bool,
    request_id: str,
    priority: int = 0,
    timeout_s: float | None = None,
) -> CompletionRequest:
    """Parse and validate the body of a request.

    :param priority: used if the body has no ``priority``.
    :param timeout_s: time limit of the request in seconds.
    :raises EngineRefusal: the body is malformed.
    """
    try:
        document = msgspec.json.decode(body, type=_Body)
    except msgspec.MsgspecError as error:
        raise _malformed(str(error)) from error
    if document.n != 1:
        raise _malformed('n is not 1')
    if document.max_tokens is not None and document.max_tokens < 1:
        raise _malformed('max_tokens is not positive')
    prefix = _prefix(document, is_chat)
    separator = b'\0assistant\0' if is_chat else b''
    if document.resume_text:
        prefix += separator + document.resume_text.encode()
        separator = b''
    return CompletionRequest(
        request_id=request_id,
        is_chat=is_chat,
        model=document.model,
        text=prefix.decode('utf-8', 'replace').replace('\0', ' '),
        prefix_bytes=prefix,
        completion_separator=separator,
        max_tokens=document.max_tokens,
        stream=document.stream,
        priority=priority if document.priority is None else document.priority,
        min_weight_version=document.min_weight_version,
        partial_on_timeout=document.partial_on_timeout,
        timeout_s=timeout_s,
    )


def _prefix(document: _Body, is_chat: bool) -> bytes:
    if is_chat:
        if not document.messages:
            raise _malformed('messages is not a non-empty list')
        return prompt_bytes({'messages': document.messages})
    if document.prompt is None:
        raise _malformed('prompt is not a string')
    return prompt_bytes({'prompt': document.prompt})


def _malformed(message: str) -> EngineRefusal:
    return EngineRefusal(400, 'malformed_request', message)
