"""Reads a policy from a decoded settings table."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core.decoding import convert_value
from dogwoodpost.core.findings import Finding
from dogwoodpost.core.policy.policy import CapacitySharePolicy
from dogwoodpost.core.policy.policy import Policy
from dogwoodpost.errors import MalformedDataError

_PLACE = 'policy'
# Without current demands of the other owners, an owner can't tell when it is
# above its share.
_SHARES_SECTION = 'capacity_shares'
_EXCHANGE_SECTION = 'load_exchange'


class PolicyReader:
    """Reads each section by itself.

    A section that is not valid stays as it was, so that one wrong value
    switches nothing else on or off.
    """

    def read(
        self, table: Any, previous: Policy
    ) -> tuple[Policy, list[Finding]]:
        """Return the policy of a table, and what is wrong with the table.

        :param table: decoded table; None if there is none, which switches all
            mechanisms off.
        :param previous: policy in force, which supplies the sections that are
            not valid.
        """
        if table is None:
            return Policy(), []
        if not isinstance(table, dict):
            finding = Finding(_PLACE, _type_name(table), 'a table of sections')
            return previous, [finding]
        findings: list[Finding] = []
        sections: dict[str, Any] = {}
        for field in msgspec.structs.fields(Policy):
            if field.name not in table:
                continue
            try:
                sections[field.name] = convert_value(
                    table[field.name], field.type
                )
            except MalformedDataError as error:
                findings.append(_section_finding(field.name, error))
                sections[field.name] = getattr(previous, field.name)
        findings += _unknown_sections(table)
        policy = Policy(**sections)
        if policy.capacity_shares.enabled and not policy.load_exchange.enabled:
            findings.append(
                Finding(
                    f'{_PLACE}.{_SHARES_SECTION}',
                    f'enabled without {_EXCHANGE_SECTION}',
                    f'{_EXCHANGE_SECTION} enabled as well',
                )
            )
            policy = msgspec.structs.replace(
                policy, capacity_shares=CapacitySharePolicy()
            )
        return policy, findings


def _section_finding(name: str, error: MalformedDataError) -> Finding:
    return Finding(
        f'{_PLACE}.{name}',
        str(error),
        'valid values; the section is unchanged',
    )


def _unknown_sections(table: dict[str, Any]) -> list[Finding]:
    known = [field.name for field in msgspec.structs.fields(Policy)]
    return [
        Finding(
            f'{_PLACE}.{name}',
            'an unknown section',
            f'one of {", ".join(known)}',
        )
        for name in table
        if name not in known
    ]


def _type_name(value: Any) -> str:
    return f'a value of type {type(value).__name__}'
