"""Exchange of accounts' consumption between entries."""

from __future__ import annotations

from dogwoodpost.core import messages
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.errors import TransportError
from dogwoodpost.services.entry.consumption_exchange import ConsumptionExchange


class LossyTransport:
    """Delivers to one address and fails for all others."""

    def __init__(self) -> None:
        self.sent: list[messages.AccountConsumption] = []

    async def send(
        self, address: str, message: messages.AccountConsumption
    ) -> None:
        if address != 'reachable':
            raise TransportError(address)
        self.sent.append(message)


def entry(name: str, transport: object, count: int) -> ConsumptionExchange:
    return ConsumptionExchange(
        ProcessIdentity(process_id=name, incarnation='1', address=name),
        transport,
        Admission(),
        addresses=lambda: ['gone'] * count + ['reachable'],
    )


async def test_consumption_reaches_other_entries_within_its_volume() -> None:
    """Guards against shares that multiply by entries, and against a flood."""
    transport = LossyTransport()
    origin, target = entry('a', transport, 1), entry('b', transport, 1)
    assert await origin.send() == 1.0
    assert transport.sent == []
    used = Ticket(
        request_id='r',
        client_account_id='lab',
        service='slate',
        estimated_tokens=70.0,
        deadline_s=9.0,
        enqueued_s=0.0,
    )
    origin._admission.submit(used, 0.0)
    origin._admission.start(used, 0.0)
    assert await origin.send() == 1.0
    expected = messages.Consumption('slate', 'lab', 70.0)
    assert transport.sent[0].items == (expected,)
    target.receive(transport.sent[0])
    queue = target._admission._services['slate'].queue
    assert queue._virtual_times == {'lab': 70.0}
    many = entry('c', transport, 999)
    many._admission._unsent_tokens[('slate', 'lab')] = 1.0
    assert await many.send() > 30.0
