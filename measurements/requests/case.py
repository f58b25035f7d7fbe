"""Load and fault cases of the request measurement."""

from __future__ import annotations

import msgspec

DURATION_S = 100.0
# Time until the engines and queues have filled.
WARM_UP_S = 10.0
BURST_START_S = 30.0
BURST_END_S = 50.0


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Load and faults of one run.

    :param load_share: mean load as a share of the capacity.
    :param burst_share: additional load from requests with the shared morning
        prompt during the burst, as a share of the capacity.
    :param crash: start and end in s of the crash of one endpoint.
    :param slow: start and end in s of the slowness of one endpoint.
    :param pause: start and end in s of a pause of the links between the
        region of the first zone and the other regions.
    """

    name: str
    load_share: float = 0.55
    burst_share: float = 0.25
    crash: tuple[float, float] | None = None
    slow: tuple[float, float] | None = None
    pause: tuple[float, float] | None = None

    @property
    def faulty(self) -> bool:
        """Return whether this is one of the fault cases."""
        return self.name != 'no fault'


CASES = (
    Case(name='no fault'),
    Case(name='one crashed', crash=(35.0, 65.0)),
    Case(name='one slow', slow=(35.0, 75.0)),
    Case(name='overload', load_share=1.8, burst_share=1.0),
    Case(name='cross-region pause', pause=(35.0, 50.0)),
)
