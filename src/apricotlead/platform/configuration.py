"""Decodes the operators' configuration row in the platform's store."""

import msgspec
from msgspec import Struct

from apricotlead.platform.workers import ResourcesBody
from apricotlead.protocol.cell_config import (
    AdvicePolicy,
    CellConfig,
    OrganisationConfig,
    QueueConfig,
    ServiceConfig,
)
from apricotlead.protocol.errors import ApricotleadError
from apricotlead.protocol.table import Row
from apricotlead.protocol.value_types import Number

OPERATOR_PREFIX = 'op//'
CONFIG_KEY = 'op//config'


class ConfigError(ApricotleadError):
    """A configuration row cannot be decoded; the last version stays valid."""

    kind = 'config'
    remedy = 'Ask an operator to write the configuration again.'


class _AdviceBody(Struct, rename='pascal'):
    decision_ms: Number = 0
    each_ms: Number = 0
    valid_ms: Number = 0


class _RouteBody(Struct, rename='pascal'):
    # A route is a queue.
    name: str
    path_prefix: str
    service: str
    host: str = ''
    priority: int = 0
    max_attempts: int = 1
    stretch: Number = 1
    # The constant term of the objective for a job's duration.
    target_duration_ms: Number = 0
    advice: _AdviceBody | None = None
    public: bool = False


class _TenantBody(Struct, rename='pascal'):
    # A tenant is an organisation.
    name: str
    api_keys: list[str] = []
    weight: Number = 1
    # The limit of resources in use at a time, not a count.
    max_count: ResourcesBody = msgspec.field(default_factory=ResourcesBody)


class _ServiceBody(Struct, rename='pascal'):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _LimitsBody(Struct, rename='pascal'):
    max_body_bytes: int = 262144


class _ConfigBody(Struct, rename='pascal'):
    version: int
    routes: list[_RouteBody] = []
    services: list[_ServiceBody] = []
    tenants: list[_TenantBody] = []
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)


def decode_config(row: Row) -> CellConfig:
    """Decode a configuration row; raise :class:`ConfigError`."""
    try:
        body = msgspec.convert(row.value, _ConfigBody)
    except msgspec.ValidationError as error:
        raise ConfigError(f'Row {row.key} cannot be read: {error}.') from error
    return CellConfig(
        body.version,
        tuple(_decode_queue(route) for route in body.routes),
        tuple(_decode_organisation(tenant) for tenant in body.tenants),
        tuple(
            ServiceConfig(each.name, each.enforces_capacity, each.spare)
            for each in body.services
        ),
        body.limits.max_body_bytes,
    )


def _decode_queue(route: _RouteBody) -> QueueConfig:
    advice = route.advice
    policy = None
    if advice is not None:
        policy = AdvicePolicy(
            advice.decision_ms,
            advice.each_ms,
            advice.valid_ms,
        )
    return QueueConfig(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_duration_ms,
        route.public,
        policy,
    )


def _decode_organisation(tenant: _TenantBody) -> OrganisationConfig:
    return OrganisationConfig(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.weight,
        tenant.max_count.to_resources(),
    )
