"""The policy in the settings file and in its template."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.policy import PolicyReader
from dogwoodpost.platform.policy_settings import apply_policy
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings import ProcessSettings

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.json'
SITE_FIELDS = {
    'node': 'n',
    'zone': 'z',
    'region': 'r',
    'platform': {'address': 'store:1'},
    'dataDir': None,
}


def rendered_template() -> dict[str, Any]:
    """Render the template as the platform does, for the fields in use."""
    section = re.compile(r'\{\{#\.\}\}(.*?)\{\{/\.\}\}', re.DOTALL)

    def render(match: re.Match[str]) -> str:
        return ''.join(
            match[1]
            .replace('{{@}}', name)
            .replace('{{.|json}}', msgspec.json.encode(value).decode())
            for name, value in SITE_FIELDS.items()
        )

    text = section.sub(render, TEMPLATE.read_text(encoding='utf-8'))
    assert '{{' not in text
    table: dict[str, Any] = msgspec.json.decode(text)
    return table


def settings_with(path: Path, policy: Any) -> ProcessSettings:
    table = {**rendered_template(), 'policy': policy}
    path.write_bytes(msgspec.json.encode(table))
    return load_settings(path)


def test_policy_of_the_template_is_valid() -> None:
    """Guards against a deployment whose mechanisms stay off by a mistake."""
    table = rendered_template()
    assert table['node'] == 'n'
    _, findings = PolicyReader().read(table['policy'], Policy())
    assert not findings


@pytest.mark.parametrize('share', [0.5, -1, 'x', []])
def test_wrong_limit_leaves_the_last_one_in_force(
    tmp_path: Path, share: object
) -> None:
    """Guards against a typing error that stops hedging or unbounds it."""
    holder = PolicyHolder()
    path = tmp_path / 'settings.json'
    good = {'hedging': {'extra_send_share': 0.05}}
    apply_policy(holder, settings_with(path, good))
    assert holder.current().hedging.extra_send_share == 0.05
    wrong = {
        'hedging': {'extra_send_share': share},
        'adaptive_moves': {'enabled': True},
    }
    apply_policy(holder, settings_with(path, wrong))
    assert holder.current().hedging.extra_send_share == 0.05
    assert holder.current().adaptive_moves.enabled
