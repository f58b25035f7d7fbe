"""Starts the process that a settings file of the platform describes."""

from __future__ import annotations

import sys

from dogwoodpost.platform.launch import main

if __name__ == '__main__':
    sys.exit(main())
