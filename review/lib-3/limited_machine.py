"""Machines that kill a process over its memory limit, and calls to them."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from small_site import HOST
from small_site import KEY

if TYPE_CHECKING:
    from small_site import SmallSite

_RESTART_DELAY_S = 0.5
_CHECK_INTERVAL_S = 0.02
_CALL_TIMEOUT_S = 5.0
_KB_PER_MB = 1024
# RULES.md, Fault: three times on a tenth of the machines, two at least.
_FAULT_COUNT = 3
_FAULTY_MACHINE_COUNT = 2


class Machine:
    """A machine whose process is killed over the memory limit and restarted.

    The memory that counts is the process's own, without mapped files.
    """

    def __init__(self, site: SmallSite, node: str, memory_mb: int) -> None:
        self.site = site
        self.node = node
        self.memory_mb = memory_mb
        self.kill_count = 0
        self.peak_mb = 0.0
        self.address = ''
        self.is_up = asyncio.Event()

    async def run(self) -> None:
        while True:
            process, self.address = await self.site.start_front(
                self.node, memory_mb=self.memory_mb
            )
            self.is_up.set()
            while process.runs:
                used_mb = _used_mb(process.child.pid)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > self.memory_mb:
                    process.send(signal.SIGKILL)
                    self.is_up.clear()
                    self.kill_count += 1
                    self.site.record.add(
                        f'{self.node} uses {used_mb:.0f} MB of {self.memory_mb} '
                        f'and is killed, time {self.kill_count}'
                    )
                    await process.child.wait()
                await asyncio.sleep(_CHECK_INTERVAL_S)
            self.is_up.clear()
            await asyncio.sleep(_RESTART_DELAY_S)


def _used_mb(pid: int) -> float:
    try:
        status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


async def call(
    address: str,
    method: str,
    path: str,
    request_id: str,
    body: bytes = b'',
    *,
    deadline_ms: int = 4000,
) -> tuple[int, bytes]:
    """Make a call on a new connection; status 0 if it gets no answer."""
    host, _, port = address.partition(':')
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
                'Connection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
            )
            writer.write(body)
            await writer.drain()
            data = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, b''
    head, _, answer = data.partition(b'\r\n\r\n')
    return (int(head.split(b' ')[1]) if head else 0), answer


def is_fault(machines: list[Machine]) -> bool:
    """Return whether the kills make the day count 0."""
    faulty = [
        machine for machine in machines if machine.kill_count >= _FAULT_COUNT
    ]
    return len(faulty) >= _FAULTY_MACHINE_COUNT
