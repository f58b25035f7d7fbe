"""Starts the process that a settings file of the platform describes."""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run the process; return its exit code."""
    # The default action would end a process that is still being imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dogwoodpost.platform.launch import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
