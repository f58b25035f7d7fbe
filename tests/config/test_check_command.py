"""``dogwoodpost config check`` for settings and configurations."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.cli.app import main

if TYPE_CHECKING:
    from pathlib import Path

SERVICE = '{"name": "s", "kind": "plain", "endpoint_concurrency": %s}'
DOCUMENT = '{/* one */ "services": {"s": ' + SERVICE + '}}'


@pytest.mark.parametrize(
    ('text', 'arguments', 'code'),
    [
        (DOCUMENT % 5, ('FILE', '--against', 'FILE'), 0),
        (DOCUMENT % 0, ('FILE', '--limit', '1'), 1),
        (DOCUMENT % 'x', ('FILE',), 2),
        (None, ('FILE',), 2),
        (DOCUMENT % 5, ('entry', 'FILE'), 2),
        (DOCUMENT % 5, ('nobody', 'FILE'), 2),
    ],
)
def test_exit_codes(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    text: str | None,
    arguments: tuple[str, ...],
    code: int,
) -> None:
    """Guards against a script that takes a fault for a pass."""
    path = tmp_path / 'file.json'
    if text is not None:
        path.write_text(text, encoding='utf-8')
    command = ['dogwoodpost', 'config', 'check', '--format', 'json']
    command += [str(path) if part == 'FILE' else part for part in arguments]
    monkeypatch.setattr(sys, 'argv', command)
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == code
    output = capsys.readouterr()
    if code == 2:
        assert output.err
    else:
        counts = json.loads(output.out)['counts']
        assert counts == {'error': code, 'warning': 1, 'info': 0}
