"""Endpoint orders: recorded intents, their outcome and retention."""

from __future__ import annotations

from dogwoodpost.core.orders.intent import decode_intent
from dogwoodpost.core.orders.intent import encode_intent
from dogwoodpost.core.orders.intent import intent_prefix
from dogwoodpost.core.orders.intent import IntentState
from dogwoodpost.core.orders.intent import OrderIntent
from dogwoodpost.core.orders.ledger import OrderLedger

__all__ = (
    'IntentState',
    'OrderIntent',
    'OrderLedger',
    'decode_intent',
    'encode_intent',
    'intent_prefix',
)
