"""Cost of requests, in units of one generated token."""

from __future__ import annotations

# Cost relative to a generated token. An engine processes the tokens of a
# prompt in parallel, at about a twentieth of that cost each; tokens in its
# prefix cache cost next to nothing.
_PROMPT_TOKEN_COST = 0.05
_CACHED_TOKEN_COST = 0.0
# Requests to plain services and empty prompts cost at least this much.
MIN_COST_TOKENS = 1.0


def estimated_cost_tokens(prompt_tokens: int, max_tokens: int) -> float:
    """Return the cost estimated before a request runs."""
    cost = prompt_tokens * _PROMPT_TOKEN_COST + max_tokens
    return max(cost, MIN_COST_TOKENS)


def actual_cost_tokens(
    prompt_tokens: int, cached_tokens: int, completion_tokens: int
) -> float:
    """Return the cost of a request that has run."""
    cached_tokens = min(cached_tokens, prompt_tokens)
    uncached_tokens = prompt_tokens - cached_tokens
    cost = (
        uncached_tokens * _PROMPT_TOKEN_COST
        + cached_tokens * _CACHED_TOKEN_COST
        + completion_tokens
    )
    return max(cost, MIN_COST_TOKENS)
