"""Throttles and stops attempts that use more than they declared."""

from collections.abc import Iterable, Sequence

from msgspec import Struct, field, structs

from apricotlead.protocol.peers import RelieveWorker
from apricotlead.protocol.signals import CallWorker, SendToPeer, Signal, Token
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    HeartbeatReply,
    ThrottleTask,
    WorkerReply,
)
from apricotlead.state.capacity_ledger import OwnedWorker
from apricotlead.state.session_view import SessionView


class OveruseSettings(Struct, frozen=True):
    """``cpu_tolerance`` is the tolerated excess, as a fraction of the demand.

    ``relief_s`` is the minimum time between two stops on one worker
    (seconds): usage is reported with a delay, and so is the effect of a stop.
    """

    cpu_tolerance: float = 0.1
    relief_s: float = 5.0


class OveruseWatch(Struct):
    """The throttles and the last stop because of overuse on one worker.

    ``throttles_by_id`` has the number of the throttle call by attempt id.
    """

    throttles_by_id: dict[str, int] = field(default_factory=dict)
    last_relief_s: float = float('-inf')
    last_number: int = 0

    def handle_overuse(
        self,
        settings: OveruseSettings,
        worker: OwnedWorker,
        reply: HeartbeatReply,
        view: SessionView,
        token: Token,
        now: float,
    ) -> Iterable[Signal]:
        """Return throttles, and one stop if memory use exceeds capacity.

        ``reply`` must have the complete list of attempts.
        """
        attempts = reply.attempts or ()
        running = [report for report in attempts if report.state == 'running']
        signals: list[Signal] = []
        self._prune_throttles(running)
        if reply.used.cpu_millis > worker.capacity.cpu_millis:
            signals.extend(self._throttle(settings, worker, running, token))
        if reply.used.memory_mb > worker.capacity.memory_mb:
            signals.extend(self._relieve(settings, worker, running, view, now))
        return signals

    def record_reply(self, number: int, reply: WorkerReply) -> None:
        """Allow a throttle that was not accepted to be sent again."""
        if isinstance(reply, Accepted):
            return
        self.throttles_by_id = {
            attempt_id: sent
            for attempt_id, sent in self.throttles_by_id.items()
            if sent != number
        }

    def _prune_throttles(self, running: Sequence[AttemptReport]) -> None:
        if not self.throttles_by_id:
            return
        running_ids = {report.attempt_id for report in running}
        self.throttles_by_id = {
            attempt_id: number
            for attempt_id, number in self.throttles_by_id.items()
            if attempt_id in running_ids
        }

    def _throttle(
        self,
        settings: OveruseSettings,
        worker: OwnedWorker,
        running: Sequence[AttemptReport],
        token: Token,
    ) -> Iterable[Signal]:
        for report in running:
            allowed = report.demand.cpu_millis * (1 + settings.cpu_tolerance)
            if report.used.cpu_millis <= allowed:
                continue
            if report.attempt_id in self.throttles_by_id:
                continue
            self.last_number += 1
            self.throttles_by_id[report.attempt_id] = self.last_number
            yield CallWorker(
                structs.replace(token, number=self.last_number),
                worker.worker_id,
                worker.address,
                ThrottleTask(
                    report.attempt_id,
                    worker.epoch,
                    report.demand.cpu_millis,
                ),
            )

    def _relieve(
        self,
        settings: OveruseSettings,
        worker: OwnedWorker,
        running: Sequence[AttemptReport],
        view: SessionView,
        now: float,
    ) -> Iterable[Signal]:
        """Send one stop to all sessions, as an attempt's home may be unknown.

        The home session of an older attempt is not recorded here.
        """
        if now < self.last_relief_s + settings.relief_s:
            return
        self.last_relief_s = now
        worst = max(running, key=_relief_rank)
        message = RelieveWorker(
            worker.worker_id,
            worst.journal_id,
            worst.attempt_id,
        )
        yield message
        for peer in view.peers_by_id.values():
            yield SendToPeer(peer.session_id, peer.address, message)


def _relief_rank(report: AttemptReport) -> tuple[bool, int, str]:
    """Order by excess; any batch task with excess ranks above other work."""
    excess = report.used.memory_mb - report.demand.memory_mb
    traits = report.traits
    is_batch = traits is None or traits.preemptible
    return is_batch and excess > 0, excess, report.attempt_id
