"""Starts the process that a settings file of the platform describes."""

from __future__ import annotations

import os
import signal
import sys

_CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def run() -> int:
    """Run the process; return its exit code."""
    # The default action would end a process that is still being imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No call goes over TLS. aiohttp reads all certificate authorities of the
    # host when it is imported, which takes 0.1 s of processor time.
    os.environ[_CERTIFICATES_VARIABLE] = os.devnull
    from dogwoodpost.platform.launch import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
