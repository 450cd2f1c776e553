"""Creates and connects all components of an entry instance, without I/O."""

from typing import Self

from msgspec import Struct

from apricotlead.coordination.admission import Admission
from apricotlead.coordination.allotments import Allotments
from apricotlead.coordination.component import Component
from apricotlead.coordination.config_keeper import ConfigKeeper
from apricotlead.coordination.directory_keeper import DirectoryKeeper
from apricotlead.coordination.dispatcher import Dispatcher
from apricotlead.coordination.gossip import GossipKeeper
from apricotlead.coordination.job_lifecycle import JobLifecycle
from apricotlead.coordination.journals import JournalKeeper
from apricotlead.coordination.lookups import LookupManager
from apricotlead.coordination.outlier_ejection import OutlierEjection
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.coordination.reservations import ReservationDesk
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.service_routing import ServiceRouter
from apricotlead.coordination.sessions import SessionKeeper
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.coordination.task_leases import TaskLeases
from apricotlead.coordination.worker_monitor import WorkerMonitor
from apricotlead.coordination.worker_ownership import WorkerOwnership
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.resources import Resources
from apricotlead.settings import Settings
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.config_view import ConfigView
from apricotlead.state.job_table import JobTable
from apricotlead.state.session_view import SessionView
from apricotlead.state.usage_table import UsageTable


class Parts(Struct, frozen=True):
    """The scheduler of an entry instance, and the state its daemon reads."""

    scheduler: Scheduler
    session_view: SessionView
    config_view: ConfigView
    directory: CellDirectory
    lookups: LookupManager
    membership: '_Membership'

    def is_drained(self) -> bool:
        """Return whether peers can take over without a lease expiry."""
        sessions, journals, ownership = self.membership.handover_components()
        return (
            sessions.is_marked_leaving()
            and journals.is_drained()
            and ownership.is_drained()
        )


def assemble(
    settings: Settings,
    rng: RandomSource,
    peer_address: str,
    *,
    isolate_errors: bool = False,
) -> Parts:
    """Create all components of an entry instance.

    ``peer_address`` (``IP:port``) is where it listens for peers. See
    :class:`Scheduler` for ``isolate_errors``.
    """
    shared = _Shared.from_config(settings, rng)
    allotments = Allotments.from_config(
        settings.allotments,
        shared.session_view,
        shared.config_view,
        rng,
    )
    admission = Admission.from_config(
        settings.admission,
        shared.config_view,
        shared.directory,
        shared.pending_tasks,
    )
    lookups = LookupManager.from_config(
        settings.lookups,
        ServiceRouter.from_config(
            settings.routing,
            shared.directory,
            shared.session_view,
            rng,
        ),
        admission,
        allotments,
    )
    membership = _build_membership(settings, shared, peer_address)
    components = (
        *membership.components(),
        *_build_config_components(settings, shared),
        admission,
        allotments,
        *_build_capacity_components(settings, shared),
        *_build_job_components(settings, shared, allotments),
        lookups,
    )
    return Parts(
        Scheduler(
            components,
            StoreSettlement(),
            isolate_errors=isolate_errors,
        ),
        shared.session_view,
        shared.config_view,
        shared.directory,
        lookups,
        membership,
    )


class _Shared(Struct, frozen=True):
    rng: RandomSource
    session_view: SessionView
    config_view: ConfigView
    directory: CellDirectory
    usage: UsageTable
    ledger: CapacityLedger
    jobs: JobTable

    @classmethod
    def from_config(cls, settings: Settings, rng: RandomSource) -> Self:
        return cls(
            rng,
            SessionView('', settings.datacentre),
            ConfigView(settings.view_bound_s),
            CellDirectory(),
            UsageTable(),
            CapacityLedger(),
            JobTable(settings.max_attempts),
        )

    def own_capacity(self) -> tuple[Resources, Resources, Resources]:
        """Return free, total and largest free capacity of owned workers."""
        ledger = self.ledger
        return ledger.total_free(), ledger.total_capacity, ledger.largest_free()

    def pending_tasks(self, queue: str) -> int:
        return self.jobs.waiting_tasks(queue)


class _Membership(Struct, frozen=True):
    directory: DirectoryKeeper
    sessions: SessionKeeper
    journals: JournalKeeper
    ownership: WorkerOwnership

    def handover_components(
        self,
    ) -> tuple[SessionKeeper, JournalKeeper, WorkerOwnership]:
        """Return the components that hand over state on a planned stop."""
        return self.sessions, self.journals, self.ownership

    def components(self) -> tuple[Component, ...]:
        return (self.directory, *self.handover_components())


def _build_membership(
    settings: Settings,
    shared: _Shared,
    peer_address: str,
) -> _Membership:
    return _Membership(
        DirectoryKeeper.from_config(settings.directory, shared.directory),
        SessionKeeper.from_config(
            settings.sessions,
            shared.session_view,
            shared.rng,
            settings.instance_id,
            peer_address,
        ),
        JournalKeeper.from_config(
            settings.journals,
            shared.session_view,
            shared.rng,
        ),
        WorkerOwnership.from_config(
            settings.ownership,
            shared.session_view,
            shared.directory,
            shared.rng,
        ),
    )


def _build_config_components(
    settings: Settings,
    shared: _Shared,
) -> tuple[Component, ...]:
    return (
        ConfigKeeper.from_config(
            settings.config,
            shared.session_view,
            shared.config_view,
        ),
        GossipKeeper.from_config(
            settings.gossip,
            shared.session_view,
            shared.config_view,
            shared.usage,
            shared.rng,
            shared.jobs.loads_by_team,
            shared.own_capacity,
        ),
    )


def _build_capacity_components(
    settings: Settings, shared: _Shared
) -> tuple[Component, ...]:
    quarantine = Quarantine(
        OutlierEjection(
            settings.quarantine,
            lambda: len(shared.directory.workers_by_id),
        ),
        shared.ledger,
    )
    return (
        WorkerMonitor(
            settings.monitor,
            shared.session_view,
            shared.directory,
            shared.ledger,
            quarantine,
            shared.rng,
        ),
        ReservationDesk(
            settings.reservations,
            shared.session_view,
            shared.ledger,
            quarantine,
            shared.config_view,
            shared.usage,
        ),
    )


def _build_job_components(
    settings: Settings,
    shared: _Shared,
    allotments: Allotments,
) -> tuple[Component, ...]:
    return (
        JobLifecycle.from_config(
            settings.jobs,
            shared.jobs,
            shared.session_view,
            settings.journals.writer.ended_jobs_kept,
        ),
        Dispatcher.from_config(
            settings.dispatch,
            shared.jobs,
            shared.session_view,
            shared.config_view,
            shared.usage,
            allotments,
            shared.rng,
        ),
        TaskLeases.from_config(
            settings.leases,
            shared.jobs,
            shared.session_view,
            shared.directory,
        ),
    )
