"""Runs the command line as ``python -m dogwoodpost``."""

from __future__ import annotations

from dogwoodpost.cli.app import main

main()
