"""Entry point of ``python -m dogwoodpost``."""

from __future__ import annotations

from dogwoodpost.cli.app import main

main()
