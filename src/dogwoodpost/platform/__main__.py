"""Starts the process described by a settings file of the platform.

With the argument ``config-check`` it checks a configuration instead.
"""

from __future__ import annotations

import os
import signal
import sys

_CERTIFICATE_FILE_VARIABLE = 'SSL_CERT_FILE'
_CHECK_COMMAND = 'config-check'


def _open_standard_descriptors() -> None:
    """Open closed standard descriptors on the null device.

    Otherwise the first socket would get the number of the closed one, and log
    lines would be written into its connection.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is this one.
            os.open(os.devnull, os.O_RDWR)


def run() -> int:
    """Run the process; return its exit code."""
    # SIGHUP by default ends the process, and its handler is only installed
    # after all modules have been imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _open_standard_descriptors()
    # No call uses TLS, but aiohttp loads all certificate authorities of the
    # host when it is imported, which takes 0.1 s of CPU time.
    os.environ[_CERTIFICATE_FILE_VARIABLE] = os.devnull
    if sys.argv[1:2] == [_CHECK_COMMAND]:
        # The start of a process must not wait for these imports.
        from dogwoodpost.platform import configuration_check

        return configuration_check.main(sys.argv[2:])
    from dogwoodpost.platform.launch import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
