"""Sample records, grants and replies for the tests of the job lifecycle."""

from apricotlead.protocol.jobs import (
    AttemptAssigned,
    JobAccepted,
    Submission,
    TaskSpec,
)
from apricotlead.protocol.peers import Grant
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import WorkerReplied
from apricotlead.state.session_view import PeerSession, SessionView

JOURNAL = 'j'
SPEC = TaskSpec(Resources(1000, 1000), 1, 'run')


def session_view(*peer_ids):
    """Return a view of session ``own`` with a valid lease and these peers."""
    view = SessionView('own', 'dc')
    view.lease_end_s = 1e6
    view.peers_by_id = {
        peer_id: PeerSession(peer_id, '127.0.0.1:1', 'dc')
        for peer_id in peer_ids
    }
    return view


def accepted(number=1, tasks=1, team='team', **fields):
    """Return the record of an accepted job."""
    submission = Submission('queue', (SPEC,) * tasks, **fields)
    return JobAccepted(f'{JOURNAL}.{number}', team, submission)


def grant(attempt_id, not_after_s=2.0):
    """Return a grant on worker ``w`` in boot ``boot``."""
    return Grant(attempt_id, 'w', '127.0.0.1:2', 1, 'boot', not_after_s)


def assigned(number=1, task=0, attempt=1):
    """Return the record of an assignment to worker ``w``."""
    job_id = f'{JOURNAL}.{number}'
    capacity_grant = grant(f'{job_id}.{task}.1-{attempt}')
    return AttemptAssigned(
        job_id,
        task,
        capacity_grant.attempt_id,
        capacity_grant.worker_id,
        capacity_grant.address,
        capacity_grant.worker_epoch,
        capacity_grant.boot_id,
        capacity_grant.not_after_s,
    )


def replied(call, reply):
    """Return the worker's reply to a call."""
    return WorkerReplied(call.token, call.worker_id, reply)


def of_type(signals, signal_type):
    """Return the signals of a type."""
    return [one for one in signals if isinstance(one, signal_type)]
