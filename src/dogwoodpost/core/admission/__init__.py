"""Admission control: limits per client account and fair queueing."""

from __future__ import annotations

from dogwoodpost.core.admission.admission import Admission
from dogwoodpost.core.admission.admission import AdmissionSettings
from dogwoodpost.core.admission.cost import actual_cost_tokens
from dogwoodpost.core.admission.cost import estimated_cost_tokens
from dogwoodpost.core.admission.cost import MIN_COST_TOKENS
from dogwoodpost.core.admission.dispatcher import Dispatcher
from dogwoodpost.core.admission.dispatcher import StartedRequest
from dogwoodpost.core.admission.ticket import Ticket
from dogwoodpost.core.admission.ticket import TicketState

__all__ = (
    'MIN_COST_TOKENS',
    'Admission',
    'AdmissionSettings',
    'Dispatcher',
    'StartedRequest',
    'Ticket',
    'TicketState',
    'actual_cost_tokens',
    'estimated_cost_tokens',
)
