"""Starts the process described by a settings file of the platform."""

from __future__ import annotations

import os
import signal
import sys

_CERTIFICATE_FILE_VARIABLE = 'SSL_CERT_FILE'


def run() -> int:
    """Run the process; return its exit code."""
    # SIGHUP by default ends the process, and its handler is only installed
    # after all modules have been imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No call uses TLS, but aiohttp loads all certificate authorities of the
    # host when it is imported, which takes 0.1 s of CPU time.
    os.environ[_CERTIFICATE_FILE_VARIABLE] = os.devnull
    from dogwoodpost.platform.launch import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
