"""The settings file of an entry instance."""

from pathlib import Path
from typing import Any, Self

import msgspec
from msgspec import Struct, field

from apricotlead.coordination.admission import AdmissionSettings
from apricotlead.coordination.allotments import AllotmentSettings
from apricotlead.coordination.config_keeper import ConfigKeeperSettings
from apricotlead.coordination.directory_keeper import DirectorySettings
from apricotlead.coordination.dispatcher import DispatchSettings
from apricotlead.coordination.gossip import GossipSettings
from apricotlead.coordination.job_lifecycle import JobLifecycleSettings
from apricotlead.coordination.journals import JournalSettings
from apricotlead.coordination.lookups import LookupSettings
from apricotlead.coordination.outlier_ejection import EjectionSettings
from apricotlead.coordination.reservations import ReservationSettings
from apricotlead.coordination.service_routing import RoutingSettings
from apricotlead.coordination.sessions import SessionSettings
from apricotlead.coordination.task_leases import LeaseSettings
from apricotlead.coordination.worker_monitor import MonitorSettings
from apricotlead.coordination.worker_ownership import OwnershipSettings
from apricotlead.protocol.addresses import InvalidAddress, split_address
from apricotlead.protocol.errors import ApricotleadError

_DIGEST_LENGTH = 64


class SettingsError(ApricotleadError):
    """The settings file cannot be used."""

    kind = 'settings'
    remedy = 'See docs/OPERATIONS.md for all settings and their defaults.'


class Settings(Struct, frozen=True, kw_only=True):
    """All settings; addresses are ``IP:port``, times in seconds.

    ``operator_key_digest`` is the output of ``apricotlead digest KEY``.
    ``log_file`` is ``-`` for standard error. ``seed`` makes random choices
    reproducible; omit it in production. ``view_bound_s`` is the maximum age
    of the configuration with which requests with a key are accepted.
    """

    instance_id: str
    datacentre: str
    http_address: str
    peer_address: str
    platform_address: str
    operator_key_digest: str
    statsd_address: str = '127.0.0.1:8125'
    log_file: str = '-'
    seed: int | None = None
    max_connections: int = 2000
    drain_s: float = 30.0
    drain_notice_s: float = 2.0
    view_bound_s: float = 3.0
    max_attempts: int = 4
    sessions: SessionSettings = field(default_factory=SessionSettings)
    journals: JournalSettings = field(default_factory=JournalSettings)
    ownership: OwnershipSettings = field(default_factory=OwnershipSettings)
    directory: DirectorySettings = field(default_factory=DirectorySettings)
    config: ConfigKeeperSettings = field(default_factory=ConfigKeeperSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    gossip: GossipSettings = field(default_factory=GossipSettings)
    monitor: MonitorSettings = field(default_factory=MonitorSettings)
    quarantine: EjectionSettings = field(default_factory=EjectionSettings)
    reservations: ReservationSettings = field(
        default_factory=ReservationSettings,
    )
    jobs: JobLifecycleSettings = field(default_factory=JobLifecycleSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    allotments: AllotmentSettings = field(default_factory=AllotmentSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    lookups: LookupSettings = field(default_factory=LookupSettings)

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read and check a YAML file; raise :class:`SettingsError`."""
        try:
            text = Path(path).read_bytes()
        except OSError as error:
            raise SettingsError(f'{path} cannot be read: {error}.') from error
        try:
            given = msgspec.yaml.decode(text)
        except msgspec.MsgspecError as error:
            raise SettingsError(f'{path} is not YAML: {error}.') from error
        return cls.from_builtins(given)

    @classmethod
    def from_builtins(cls, given: Any) -> Self:
        """Convert and check a mapping; raise :class:`SettingsError`."""
        try:
            settings = msgspec.convert(given, cls)
        except msgspec.ValidationError as error:
            raise SettingsError(f'Invalid settings: {error}.') from error
        _reject_unknown(given, msgspec.to_builtins(settings), '')
        settings.check()
        return settings

    def check(self) -> None:
        """Raise :class:`SettingsError` for invalid or conflicting values."""
        for name in (
            'http_address',
            'peer_address',
            'platform_address',
            'statsd_address',
        ):
            _check_address(name, getattr(self, name))
        if len(self.operator_key_digest) != _DIGEST_LENGTH:
            raise SettingsError(
                'operator_key_digest must be a SHA-256 digest in hexadecimal.',
            )
        self._check_times()

    def _check_times(self) -> None:
        drifts = {
            self.sessions.max_drift,
            self.config.max_drift,
            self.leases.max_drift,
            self.reservations.bounds.max_drift,
            self.routing.max_drift,
        }
        if len(drifts) > 1:
            raise SettingsError('max_drift must be the same in all sections.')
        if self.leases.grant_ttl_s < self.reservations.bounds.ttl_s:
            raise SettingsError(
                'leases.grant_ttl_s must not be less than '
                'reservations.bounds.ttl_s, or an attempt could be recorded '
                'as lost while its start is still accepted.',
            )
        if self.reservations.preemption.hold_s >= (
            self.dispatch.request_timeout_s
        ):
            raise SettingsError(
                'reservations.preemption.hold_s must be less than '
                'dispatch.request_timeout_s, or capacity stays reserved for '
                'a request that its home session has abandoned.',
            )
        longest_s = self.lookups.longest_deadline_s
        if longest_s >= self.sessions.session_ttl_s:
            raise SettingsError(
                'lookups.longest_deadline_s must be less than '
                'sessions.session_ttl_s, or lookups of an expired session '
                'could still run when its units are allotted again.',
            )


def _check_address(name: str, address: str) -> None:
    try:
        split_address(address)
    except InvalidAddress as error:
        raise SettingsError(
            f'{name} must be IP:port, not {address!r}.'
        ) from error


def _reject_unknown(given: Any, known: Any, path: str) -> None:
    if not isinstance(given, dict) or not isinstance(known, dict):
        return
    for name, setting in given.items():
        if name not in known:
            raise SettingsError(f'Unknown setting {path}{name}.')
        _reject_unknown(setting, known[name], f'{path}{name}.')
