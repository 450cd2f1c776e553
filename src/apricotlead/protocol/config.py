"""The cell's configuration and the changes that operators make to it."""

from typing import Literal

from msgspec import Struct, field

PresetName = Literal['ordinary', 'peak', 'maintenance']


class Team(Struct, frozen=True, omit_defaults=True):
    """A team: its organisation, fair-share weight and concurrency limit.

    ``weight`` is relative to other teams; ``limit`` is the maximum number of
    units (tasks and lookups) that run at once across the fleet.
    """

    name: str
    organisation: str
    weight: float = 1.0
    limit: int = 1000


class Queue(Struct, frozen=True, omit_defaults=True):
    """A queue; ``team`` is empty if it is open to all teams."""

    name: str
    team: str = ''
    max_pending_tasks: int = 100_000


class Preset(Struct, frozen=True, omit_defaults=True):
    """A named set of scheduling policies.

    ``placement`` is the name of a registered placement policy. With
    ``admits_batch`` new batch jobs are accepted, and with ``starts_batch``
    queued ones are started. ``reserved_fraction`` of each worker is reserved
    for gang and urgent work.
    """

    name: PresetName
    placement: str = 'best_fit'
    admits_batch: bool = True
    starts_batch: bool = True
    reserved_fraction: float = 0.0


ORDINARY = Preset('ordinary')
PEAK = Preset('peak', reserved_fraction=0.1)
MAINTENANCE = Preset('maintenance', admits_batch=False, starts_batch=False)


class CellConfig(Struct, frozen=True):
    """The whole configuration at one version."""

    version: int = 0
    preset_in_force: PresetName = 'ordinary'
    presets_by_name: dict[str, Preset] = field(
        default_factory=lambda: {
            preset.name: preset for preset in (ORDINARY, PEAK, MAINTENANCE)
        },
    )
    teams_by_name: dict[str, Team] = field(default_factory=dict)
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    teams_by_key_digest: dict[str, str] = field(default_factory=dict)
    # The version at which an operator declared each worker down.
    down_versions_by_worker: dict[str, int] = field(default_factory=dict)


class PutTeam(Struct, frozen=True, tag='put_team'):
    """Creates or replaces a team."""

    team: Team


class PutQueue(Struct, frozen=True, tag='put_queue'):
    """Creates or replaces a queue."""

    queue: Queue


class GrantKey(Struct, frozen=True, tag='grant_key'):
    """Authorises a key, given as SHA-256 hex digest, for a team."""

    key_digest: str
    team: str


class WithdrawKey(Struct, frozen=True, tag='withdraw_key'):
    """Revokes a key."""

    key_digest: str


class PutPreset(Struct, frozen=True, tag='put_preset'):
    """Replaces the policies of a preset."""

    preset: Preset


class ChoosePreset(Struct, frozen=True, tag='choose_preset'):
    """Activates another preset."""

    name: PresetName


class DeclareDown(Struct, frozen=True, tag='declare_down'):
    """Asserts that these workers are powered off and run nothing.

    Attempts on them count as lost at once, and they get no new work. A wrong
    assertion lets tasks run twice: a worker that is merely unreachable must
    not be declared down.
    """

    worker_ids: tuple[str, ...]


class DeclareUp(Struct, frozen=True, tag='declare_up'):
    """Allows workers that were declared down to get work again."""

    worker_ids: tuple[str, ...]


ConfigChange = (
    PutTeam
    | PutQueue
    | GrantKey
    | WithdrawKey
    | PutPreset
    | ChoosePreset
    | DeclareDown
    | DeclareUp
)


class ChangeRequest(Struct, frozen=True):
    """An operator's change and the version it is based on."""

    base_version: int
    change: ConfigChange


class LoggedChange(Struct, frozen=True):
    """A committed change and the version that it created."""

    version: int
    change: ConfigChange
