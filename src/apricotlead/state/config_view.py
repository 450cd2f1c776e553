"""This session's copy of the configuration, and the changes applied to it."""

from collections.abc import Callable
from hashlib import sha256
from math import isfinite
from re import compile as compile_pattern
from typing import Any

from msgspec.structs import replace

from apricotlead.protocol.config import (
    CellConfig,
    ChoosePreset,
    ConfigChange,
    DeclareDown,
    DeclareUp,
    GrantKey,
    LoggedChange,
    Preset,
    PutPreset,
    PutQueue,
    PutTeam,
    Queue,
    Team,
    WithdrawKey,
)
from apricotlead.protocol.errors import BadInput

DEFAULT_VIEW_BOUND_S = 3.0
# Names are parts of table keys such as ``request/{team}/{request_id}``, so a
# slash in a name could make two keys collide.
_NAME = compile_pattern('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_KEY_DIGEST = compile_pattern('[0-9a-f]{64}')

_Apply = Callable[[CellConfig, Any], CellConfig]
_Check = Callable[[CellConfig, Any], None]


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest under which a key is stored."""
    return sha256(key.encode()).hexdigest()


class ConfigView:
    """The configuration as known to this session.

    The version only grows. ``age`` is the time since the latest read that
    confirmed the version as current was sent. Only the config keeper changes
    the view.
    """

    __slots__ = (
        '_confirmed_s',
        '_pending_confirmation',
        '_view_bound_s',
        'config',
    )

    def __init__(self, view_bound_s: float = DEFAULT_VIEW_BOUND_S) -> None:
        """Start with the empty configuration, of infinite age."""
        self.config = CellConfig()
        self._view_bound_s = view_bound_s
        self._confirmed_s = float('-inf')
        self._pending_confirmation: tuple[int, float] | None = None

    @property
    def version(self) -> int:
        """The version of the configuration; 0 before the first change."""
        return self.config.version

    def age(self, now: float) -> float:
        """Return the seconds since the view was last confirmed as current."""
        return now - self._confirmed_s

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is recent enough to accept keyed requests."""
        return self.age(now) <= self._view_bound_s

    def team_for_key(self, key: str) -> str | None:
        """Return the team that ``key`` belongs to, ``None`` if none."""
        return self.config.teams_by_key_digest.get(hash_key(key))

    def team(self, name: str) -> Team | None:
        """Return the team of that name, ``None`` if it does not exist."""
        return self.config.teams_by_name.get(name)

    def queue(self, name: str) -> Queue | None:
        """Return the queue of that name, ``None`` if it does not exist."""
        return self.config.queues_by_name.get(name)

    def preset(self) -> Preset:
        """Return the preset in force."""
        return self.config.presets_by_name[self.config.preset_in_force]

    def apply(self, logged: LoggedChange) -> bool:
        """Apply the change that follows the current version.

        Returns whether it was applied; any other change is ignored.
        """
        if logged.version != self.version + 1:
            return False
        self.config = replay_change(self.config, logged.change)
        self._apply_pending_confirmation()
        return True

    def load(self, config: CellConfig) -> bool:
        """Replace the configuration if ``config`` is newer.

        Returns whether it was replaced.
        """
        if config.version <= self.version:
            return False
        self.config = config
        self._apply_pending_confirmation()
        return True

    def confirm_version(self, version: int, sent_s: float) -> None:
        """Record that ``version`` was current at ``sent_s`` or later.

        The confirmation of a version that the view does not have yet takes
        effect once the view reaches it.
        """
        if self.version >= version:
            self._confirmed_s = max(self._confirmed_s, sent_s)
        else:
            self._pending_confirmation = (version, sent_s)

    def _apply_pending_confirmation(self) -> None:
        if (
            self._pending_confirmation is not None
            and self.version >= self._pending_confirmation[0]
        ):
            self._confirmed_s = max(
                self._confirmed_s, self._pending_confirmation[1]
            )
            self._pending_confirmation = None


def apply_change(config: CellConfig, change: ConfigChange) -> CellConfig:
    """Return the configuration after ``change``, one version later.

    Raises :class:`BadInput` for a change that names something unknown or
    contains a value that is out of range.
    """
    _CHECKS_BY_TYPE[type(change)](config, change)
    return replay_change(config, change)


def replay_change(config: CellConfig, change: ConfigChange) -> CellConfig:
    """Apply a committed change without validating it again.

    The log must produce the same configuration on every instance, including
    one whose release has stricter checks.
    """
    changed = _APPLIERS_BY_TYPE[type(change)](config, change)
    return replace(changed, version=config.version + 1)


_APPLIERS_BY_TYPE: dict[type, _Apply] = {}
_CHECKS_BY_TYPE: dict[type, _Check] = {}


def _applies(change_type: type) -> Callable[[_Apply], _Apply]:
    def register(apply: _Apply) -> _Apply:
        _APPLIERS_BY_TYPE[change_type] = apply
        return apply

    return register


def _checks(change_type: type) -> Callable[[_Check], _Check]:
    def register(check: _Check) -> _Check:
        _CHECKS_BY_TYPE[change_type] = check
        return check

    return register


@_applies(PutTeam)
def _put_team(config: CellConfig, change: PutTeam) -> CellConfig:
    teams = config.teams_by_name | {change.team.name: change.team}
    return replace(config, teams_by_name=teams)


@_applies(PutQueue)
def _put_queue(config: CellConfig, change: PutQueue) -> CellConfig:
    queues = config.queues_by_name | {change.queue.name: change.queue}
    return replace(config, queues_by_name=queues)


@_applies(GrantKey)
def _grant_key(config: CellConfig, change: GrantKey) -> CellConfig:
    keys = config.teams_by_key_digest | {change.key_digest: change.team}
    return replace(config, teams_by_key_digest=keys)


@_applies(WithdrawKey)
def _withdraw_key(config: CellConfig, change: WithdrawKey) -> CellConfig:
    keys = dict(config.teams_by_key_digest)
    keys.pop(change.key_digest, None)
    return replace(config, teams_by_key_digest=keys)


@_applies(PutPreset)
def _put_preset(config: CellConfig, change: PutPreset) -> CellConfig:
    presets = config.presets_by_name | {change.preset.name: change.preset}
    return replace(config, presets_by_name=presets)


@_applies(ChoosePreset)
def _choose_preset(config: CellConfig, change: ChoosePreset) -> CellConfig:
    return replace(config, preset_in_force=change.name)


@_applies(DeclareDown)
def _declare_down(config: CellConfig, change: DeclareDown) -> CellConfig:
    declared = dict.fromkeys(change.worker_ids, config.version + 1)
    down = config.down_versions_by_worker | declared
    return replace(config, down_versions_by_worker=down)


@_applies(DeclareUp)
def _declare_up(config: CellConfig, change: DeclareUp) -> CellConfig:
    down = {
        worker_id: version
        for worker_id, version in config.down_versions_by_worker.items()
        if worker_id not in change.worker_ids
    }
    return replace(config, down_versions_by_worker=down)


@_checks(DeclareDown)
def _check_down(config: CellConfig, change: DeclareDown) -> None:
    if not change.worker_ids:
        raise BadInput('worker_ids names no worker.')


@_checks(DeclareUp)
def _check_up(config: CellConfig, change: DeclareUp) -> None:
    for worker_id in change.worker_ids:
        if worker_id not in config.down_versions_by_worker:
            raise BadInput(f'Worker {worker_id!r} was not declared down.')


@_checks(PutTeam)
def _check_team(config: CellConfig, change: PutTeam) -> None:
    team = change.team
    _require_name('team.name', team.name)
    if team.limit < 0:
        raise BadInput(f'team.limit is {team.limit}, below 0.')
    if not (isfinite(team.weight) and team.weight > 0):
        raise BadInput(f'team.weight is {team.weight}, not above 0.')


@_checks(PutQueue)
def _check_queue(config: CellConfig, change: PutQueue) -> None:
    queue = change.queue
    _require_name('queue.name', queue.name)
    if queue.team:
        _require_team(config, 'queue.team', queue.team)
    if queue.max_pending_tasks < 0:
        raise BadInput(
            f'queue.max_pending_tasks is {queue.max_pending_tasks}, below 0.',
        )


@_checks(GrantKey)
def _check_grant(config: CellConfig, change: GrantKey) -> None:
    if not _KEY_DIGEST.fullmatch(change.key_digest):
        raise BadInput('key_digest is not a SHA-256 digest in lower-case hex.')
    _require_team(config, 'team', change.team)


@_checks(WithdrawKey)
def _check_withdrawal(config: CellConfig, change: WithdrawKey) -> None:
    if change.key_digest not in config.teams_by_key_digest:
        raise BadInput('key_digest names no key that is in force.')


@_checks(PutPreset)
def _check_preset(config: CellConfig, change: PutPreset) -> None:
    preset = change.preset
    _require_preset(config, 'preset.name', preset.name)
    if not 0 <= preset.reserved_fraction < 1:
        raise BadInput(
            f'preset.reserved_fraction is {preset.reserved_fraction}, '
            + 'not in [0, 1).',
        )


@_checks(ChoosePreset)
def _check_choice(config: CellConfig, change: ChoosePreset) -> None:
    _require_preset(config, 'name', change.name)


def _require_name(field_name: str, name: str) -> None:
    if not _NAME.fullmatch(name):
        raise BadInput(
            f'{field_name} {name!r} is not 1 to 63 letters, digits, '
            + 'dots, underscores or hyphens.',
        )


def _require_team(config: CellConfig, field_name: str, name: str) -> None:
    if name not in config.teams_by_name:
        raise BadInput(f'{field_name} {name!r} is not a known team.')


def _require_preset(config: CellConfig, field_name: str, name: str) -> None:
    if name not in config.presets_by_name:
        raise BadInput(f'{field_name} {name!r} is not a known preset.')
