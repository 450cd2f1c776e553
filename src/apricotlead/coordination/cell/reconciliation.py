"""Reconciliation of a worker's list of runs with the runs placed there."""

from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.stragglers import is_straggler
from apricotlead.protocol.cell_workers import HoldReport, RunningTask
from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState


def reconcile(
    tracker: RunTracker,
    worker: WorkerState,
    report: HoldReport,
    sent_s: float,
    now: float,
) -> None:
    """Reconcile a worker's list with the runs placed there.

    ``sent_s`` is when the call was sent: a run that started later may be
    missing from the list. Progress is dated by when the list was made, which
    may be long before ``now``. While the list of ends is cut short, a run that
    is not listed is kept, as it may have ended successfully.
    """
    reported_s = worker.lease.reported_s(report.clock_ms, now)
    running = {(listed.task, listed.run) for listed in report.running}
    for listed in report.running:
        _reconcile_listed(tracker, worker, listed, now, reported_s)
    for name, run in tuple(worker.strays_by_run):
        if (name, run) not in running:
            worker.drop_stray(name, run)
    if not report.has_all_ends:
        return
    for task in tuple(worker.tasks_by_name.values()):
        if (task.name, task.run) not in running:
            _reconcile_unlisted(tracker, worker, task, sent_s, now)


def _reconcile_listed(
    tracker: RunTracker,
    worker: WorkerState,
    listed: RunningTask,
    now: float,
    reported_s: float,
) -> None:
    task = worker.tasks_by_name.get(listed.task)
    if task is None or task.run != listed.run:
        known = tracker.task(listed.task)
        # The demand is unknown if the job is final and already removed; assume
        # the whole worker.
        whole = worker.entry.capacity
        demand = whole if known is None else known.step.demand()
        worker.add_stray(listed.task, listed.run, demand)
        worker.runs_to_stop[listed.task, listed.run] = None
        return
    tracker.mark_running(task, now)
    tracker.save_checkpoint(task, listed.checkpoint)
    if task.first_progress is None:
        task.first_progress = listed.progress
    if listed.progress != task.progress:
        task.progress = listed.progress
        task.progress_s = reported_s
    task.load = listed.load
    if is_straggler(task, worker.speed, tracker.estimate_errors, reported_s):
        _replace_straggler(tracker, worker, task, reported_s)
    key = (worker.worker_id, task.name, task.run)
    if task.phase is TaskPhase.STOPPING and key not in (
        tracker.stop_acked_s_by_run
    ):
        worker.runs_to_stop[task.name, task.run] = None


def _replace_straggler(
    tracker: RunTracker,
    worker: WorkerState,
    task: TaskState,
    now: float,
) -> None:
    tracker.note(
        'straggler stopped',
        task=task.name,
        run=task.run,
        worker=worker.worker_id,
        progress=task.progress,
        elapsed_s=round(now - task.started_s, 2),
        unchanged_s=round(now - task.progress_s, 2),
        estimate_ms=task.step.spec.estimated_ms,
    )
    # The run is at most half done, so it takes at least twice the elapsed time.
    worker.speed.observe(
        (now - task.started_s) * 2,
        task.step.longest_full_run_s,
    )
    task.step.slow_worker_ids.add(worker.worker_id)
    task.avoided_workers.add(worker.worker_id)
    tracker.stop(task)


def _reconcile_unlisted(
    tracker: RunTracker,
    worker: WorkerState,
    task: TaskState,
    sent_s: float,
    now: float,
) -> None:
    key = (worker.worker_id, task.name, task.run)
    acked_s = tracker.stop_acked_s_by_run.get(key)
    was_stopped = acked_s is not None and acked_s < sent_s
    if task.phase is TaskPhase.DONE:
        is_stop_pending = (task.name, task.run) in worker.runs_to_stop
        # While a stop is pending, or was acknowledged only after the call was
        # sent, the start may still be executed after the list was made.
        if was_stopped or (acked_s is None and not is_stop_pending):
            tracker.release_done(worker, task)
        return
    vanished = task.phase is TaskPhase.RUNNING and task.started_s < sent_s
    if was_stopped or vanished:
        tracker.note(
            'run not listed',
            task=task.name,
            run=task.run,
            worker=worker.worker_id,
        )
        tracker.requeue(task, now)
