"""Python library for trainers."""

from __future__ import annotations

from dogwoodpost.client.batch import Batch
from dogwoodpost.client.trainer_client import TrainerClient
from dogwoodpost.core.rollouts.records import DeliveredSample
from dogwoodpost.core.rollouts.trainer_api import StepSubmission
from dogwoodpost.core.rollouts.trainer_api import StepView

__all__ = (
    'Batch',
    'DeliveredSample',
    'StepSubmission',
    'StepView',
    'TrainerClient',
)
