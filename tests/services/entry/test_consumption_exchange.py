"""Tests of the exchange of client accounts' consumption."""

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


def make_exchange(
    name: str, transport: object, gone_count: int
) -> ConsumptionExchange:
    return ConsumptionExchange(
        ProcessIdentity(process_id=name, incarnation='1', address=name),
        transport,
        Admission(),
        addresses=lambda: ['gone'] * gone_count + ['reachable'],
    )


async def test_consumption_reaches_other_entries_within_byte_rate() -> None:
    """Guards against wrong shares and against excessive traffic.

    Without the exchange an account would get its fair share once per entry.
    """
    transport = LossyTransport()
    origin, target = (
        make_exchange('a', transport, 1),
        make_exchange('b', transport, 1),
    )
    assert await origin.send() == 1.0
    assert transport.sent == []
    ticket = Ticket(
        request_id='r',
        client_account_id='lab',
        service='slate',
        estimated_tokens=70.0,
        deadline_s=9.0,
        enqueued_s=0.0,
    )
    origin._admission.submit(ticket, 0.0)
    origin._admission.start(ticket, 0.0)
    assert await origin.send() == 1.0
    expected = messages.Consumption('slate', 'lab', 70.0)
    assert transport.sent[0].items == (expected,)
    target.receive(transport.sent[0])
    queue = target._admission._services['slate'].queue
    assert queue._virtual_times == {'lab': 70.0}
    many = make_exchange('c', transport, 999)
    many._admission._unsent_tokens[('slate', 'lab')] = 1.0
    assert await many.send() > 30.0
