"""Applies the policy of the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core.policy import PolicyReader

if TYPE_CHECKING:
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.platform.settings import ProcessSettings

_log = structlog.get_logger(__name__)


def apply_policy(holder: PolicyHolder, settings: ProcessSettings) -> None:
    """Put the policy of a settings file in force, and log what is wrong.

    Sections that are not valid stay as they are in the holder.
    """
    policy, findings = PolicyReader().read(settings.policy, holder.current())
    for finding in findings:
        _log.error('policy_section_invalid', finding=str(finding))
    holder.replace(policy)
    _log.info('policy_applied', **msgspec.to_builtins(policy))
