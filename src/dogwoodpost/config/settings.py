"""Settings models of entry and agent processes."""

from __future__ import annotations

from typing import Annotated

import pydantic


def plain_secret(secret: pydantic.SecretStr | None) -> str | None:
    """Return the value of a secret for use in a protocol; never log it."""
    return None if secret is None else secret.get_secret_value()


class StrictModel(pydantic.BaseModel):
    """Rejects unknown fields, so that misspelt settings are reported."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$')]


class ListenAddress(StrictModel):
    """An IP address and a port; port 0 selects any free port."""

    ip: str = '127.0.0.1'
    port: Port = 0


class LogSettings(StrictModel):
    """Format and level of the log."""

    level: Annotated[
        str, pydantic.Field(pattern='^(debug|info|warning|error)$')
    ] = 'info'
    json_output: bool = False


class PlatformSettings(StrictModel):
    """Base URLs of the platform's services, with credentials and timeout."""

    table_store_url: pydantic.HttpUrl
    object_store_url: pydantic.HttpUrl
    endpoint_orders_url: pydantic.HttpUrl | None = None
    usage_reports_url: pydantic.HttpUrl | None = None
    host_list_url: pydantic.HttpUrl | None = None
    weight_store_url: pydantic.HttpUrl | None = None
    scorer_url: pydantic.HttpUrl | None = None
    token: pydantic.SecretStr | None = None
    timeout_ms: Annotated[int, pydantic.Field(gt=0)] = 2_000


class ProcessSettings(StrictModel):
    """Settings common to entry and agent processes."""

    process_id: Name
    host_id: Name
    region: Name
    availability_zone: Name
    peer_listen: ListenAddress = ListenAddress()
    metrics_listen: ListenAddress = ListenAddress()
    log: LogSettings = LogSettings()
    platform: PlatformSettings
    drain_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 60.0


class AdminSettings(StrictModel):
    """Settings of the administration API."""

    listen: ListenAddress = ListenAddress()
    token: pydantic.SecretStr | None = None


class EntrySettings(ProcessSettings):
    """Settings of an entry process."""

    http_listen: ListenAddress = ListenAddress()
    admin: AdminSettings = AdminSettings()
    max_header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16 * 1024
    max_body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16 * 1024 * 1024
    body_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 30.0
    usage_window_s: Annotated[int, pydantic.Field(gt=0)] = 60
    control_enabled: bool = True
    endpoint_start_up_s: Annotated[float, pydantic.Field(gt=0)] = 60.0


class EndpointSettings(StrictModel):
    """An endpoint that an agent runs attempts on."""

    endpoint_id: Name
    service: Name
    url: pydantic.HttpUrl
    checks_fencing: bool = False
    max_concurrency: Annotated[int, pydantic.Field(gt=0)] = 64


class AgentSettings(ProcessSettings):
    """Settings of an agent process."""

    endpoints: Annotated[list[EndpointSettings], pydantic.Field(min_length=1)]
    seed_entry_addresses: list[str] = []
    weights_listen: ListenAddress = ListenAddress()
    retained_answer_bytes: Annotated[int, pydantic.Field(gt=0)] = (
        64 * 1024 * 1024
    )

    @pydantic.model_validator(mode='after')
    def check_endpoint_ids(self) -> AgentSettings:
        """Require distinct endpoint ids."""
        ids = [endpoint.endpoint_id for endpoint in self.endpoints]
        if len(ids) != len(set(ids)):
            raise ValueError('endpoint ids must be distinct')
        return self
