"""Test rig: a cell scheduler with simulated workers and store."""

import msgspec

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    OwnerRow,
    read_owner,
    takeover,
)
from apricotlead.coordination.cell.job_rows import JOBS_TABLE, job_key
from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import STATISTICS_PREFIX
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_config import (
    CellConfig,
    OrganisationConfig,
    QueueConfig,
)
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.cell_workers import (
    EndedTask,
    EndKind,
    HoldOrder,
    HoldReport,
    OrderReply,
    RunningTask,
    StartOrder,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_config_view import CellConfigView

CAPACITY = Resources(16000, 32768, 0)
SMALL = Resources(1000, 1024, 0)
NO_LIMIT = Resources()


def cell_config(limit: Resources = NO_LIMIT) -> CellConfig:
    """Return a configuration with one queue and one organisation."""
    return CellConfig(
        1,
        (QueueConfig('lookups', 'host', '/lookups/', 'transcripts'),),
        (OrganisationConfig('clerks', ('key',), 100.0, limit),),
    )


def stored_job(*steps: StepSpec, **changes: object) -> StoredJob:
    """Return an accepted job of the only queue."""
    job = StoredJob(
        'lookups',
        'transcripts',
        'clerks',
        0,
        max_attempts=3,
        stretch=2.0,
        aim_ms=1000,
        submission=JobSubmission('payload', steps or (StepSpec(1, SMALL),)),
    )
    return msgspec.structs.replace(job, **changes)


class ModelWorker:
    """A simulated worker that accepts every order and reports runs and ends."""

    def __init__(self, worker_id: str, **changes: object) -> None:
        """Register without runs."""
        entry = WorkerEntry(
            worker_id,
            'transcripts',
            f'{worker_id}:80',
            'north',
            CAPACITY,
            ('kind', 'rack'),
        )
        self.entry = msgspec.structs.replace(entry, **changes)
        self.running_by_task: dict[str, int] = {}
        self.started: list[StartOrder] = []
        self.ended: list[EndedTask] = []
        self.is_reachable = True
        self.ends_per_report = 500

    def start(self, order: StartOrder) -> None:
        """Start a run."""
        self.started.append(order)
        self.running_by_task[order.task] = order.run

    def end(self, task: str, kind: EndKind = EndKind.DONE) -> None:
        """End a run."""
        run = self.running_by_task.pop(task)
        number = len(self.ended) + 1
        self.ended.append(EndedTask(number, task, run, kind))

    def answer_start(self, order: StartOrder, now: float) -> OrderReply:
        """Carry out a start and return the reply."""
        self.start(order)
        return OrderReply(None, now * 1000)

    def answer_hold(self, order: HoldOrder, now: float) -> HoldReport:
        """Carry out a hold and return the lists."""
        return self.report(now, order.acked_through)

    def report(self, now: float, acked_through: int = 0) -> HoldReport:
        """Return the lists of running and unacknowledged ended runs."""
        unacked = [end for end in self.ended if end.number > acked_through]
        return HoldReport(
            now * 1000,
            tuple(
                RunningTask(task, run)
                for task, run in self.running_by_task.items()
            ),
            tuple(unacked[: self.ends_per_report]),
            has_all_ends=len(unacked) < self.ends_per_report,
        )


class CellRig:
    """Drives successive schedulers over the same store."""

    def __init__(
        self,
        *workers: ModelWorker,
        config: CellConfig | None = None,
        settings: CellSettings | None = None,
        **changes: object,
    ) -> None:
        """Start the first term at time 100."""
        self.now = 100.0
        self.settings = settings or CellSettings()
        self.config = config or cell_config(**changes)
        self.workers_by_id = {
            worker.entry.worker_id: worker for worker in workers
        }
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0
        self.take_over()

    def take_over(self) -> None:
        """Start a new term and establish contact with all workers."""
        self.begin_term()
        self.hold_all()
        # Some grants need a write that records the workers as in contact.
        self.journal()
        self.hold_all()

    def begin_term(self) -> None:
        """Start a new term, as another instance does after a takeover."""
        row = self.rows_by_key.get(OWNER_KEY, Row(OWNER_KEY))
        owner, transaction = takeover(
            row,
            'instance',
            'peer',
            self.store_ms,
            self.settings.election,
        )
        self.write(transaction)
        self.scheduler = CellScheduler(
            self.settings,
            CellConfigView(self.config, self.now),
            owner,
            read_owner(row),
            self.now,
            self.store_ms,
        )
        self.scheduler.owner_version = self.version
        self.scheduler.workers.load_leases(self.rows(LEASES_PREFIX))
        self.scheduler.jobs.load(
            self.rows(f'{JOBS_TABLE}/'),
            self.rows(PROGRESS_PREFIX),
            self.now,
        )
        for worker in self.workers_by_id.values():
            self.scheduler.workers.update_worker(worker.entry, self.now)
        for row in self.rows(STATISTICS_PREFIX):
            self.scheduler.speeds.load(row)
        self.scheduler.workers.restore_unregistered(self.now)

    @property
    def store_ms(self) -> float:
        """Return the time on the store's clock."""
        return self.now * 1000

    @property
    def owner(self) -> OwnerRow:
        """Return the stored owner row."""
        return read_owner(self.rows_by_key[OWNER_KEY])

    def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the stored rows whose keys have a prefix."""
        return tuple(
            row
            for key, row in sorted(self.rows_by_key.items())
            if key.startswith(prefix)
        )

    def submit(self, job_id: str, stored: StoredJob) -> Row:
        """Store a job and pass its row to the scheduler."""
        self.version += 1
        key = job_key(job_id)
        row = Row(key, self.version, msgspec.to_builtins(stored))
        self.rows_by_key[key] = row
        self.scheduler.jobs.apply_job_row(row, self.now)
        return row

    def state(self, job_id: str) -> str:
        """Return the stored state of a job."""
        row = self.rows_by_key[f'{PROGRESS_PREFIX}{job_id}']
        return str(msgspec.convert(row.value, JobProgress).state)

    def pass_time(self, duration_s: float) -> None:
        """Advance time in steps of 0.5 s, with a hold and a round in each."""
        ends_s = self.now + duration_s
        while self.now < ends_s:
            self.now += 0.5
            self.hold_all()
            self.scheduler.tick(self.now)
            self.round()

    def hold_all(self) -> None:
        """Send a hold to each worker."""
        for worker_id in self.workers_by_id:
            self.hold(worker_id)

    def hold(self, worker_id: str) -> None:
        """Send a hold to a worker and apply its answer, if it is reachable."""
        worker = self.workers_by_id[worker_id]
        planned = self.scheduler.workers.hold_order(worker_id, self.now)
        if planned is None or not worker.is_reachable:
            return
        order = planned[1]
        self.scheduler.workers.hold_answered(
            worker_id,
            worker.answer_hold(order, self.now),
            self.now,
            self.now,
            order,
        )

    def round(self) -> None:
        """Plan, write the journal and send the starts."""
        self.scheduler.plan(self.now, [])
        for start in self.journal():
            self.send(start)

    def journal(self) -> list[PlannedStart]:
        """Write the journal and return the starts that may now be sent."""
        batch, starts = self.scheduler.take_batch(self.now)
        self.write(batch.transaction)
        self.scheduler.committed(
            batch,
            self.version,
            self.store_ms,
            self.now,
        )
        return starts

    def send(self, start: PlannedStart) -> None:
        """Send a start to its worker; its reply is lost if unreachable."""
        order = self.scheduler.starts.start_order(start, self.now)
        if order is None:
            return
        worker = self.workers_by_id[start.worker.worker_id]
        reply = worker.answer_start(order, self.now)
        if worker.is_reachable:
            self.scheduler.starts.start_answered(
                start, reply, self.now, self.now
            )

    def write_row(self, key: str, content: object) -> None:
        """Store a row, as another program does."""
        self.version += 1
        self.rows_by_key[key] = Row(key, self.version, content)

    def write(self, transaction: object) -> None:
        """Check and apply a transaction."""
        for check in transaction.checks:
            row = self.rows_by_key.get(check.key, Row(check.key))
            assert row.version == check.version
        self.version += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(put.key, self.version, put.value)
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
