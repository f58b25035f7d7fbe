"""Conversion of prompts to the bytes that prefix hashes cover."""

from __future__ import annotations

from typing import Any

import msgspec


def prompt_bytes(document: dict[str, Any]) -> bytes:
    """Return the prompt of a completion request, or its joined messages.

    Roles and contents are joined by zero bytes in the order of the messages,
    so that a conversation is a prefix of its own continuation.
    """
    prompt = document.get('prompt')
    if isinstance(prompt, str):
        return prompt.encode('utf-8', 'replace')
    parts: list[bytes] = []
    for message in document.get('messages') or ():
        content = message.get('content', '')
        parts.append(str(message.get('role', '')).encode('utf-8', 'replace'))
        if isinstance(content, str):
            parts.append(content.encode('utf-8', 'replace'))
        else:
            parts.append(msgspec.json.encode(content, order='sorted'))
    return b'\0'.join(parts)
