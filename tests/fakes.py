"""A table service and an object store in memory, for tests."""

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.signals import (
    DeleteObject,
    GetObject,
    JournalClosed,
    JournalOpened,
    ObjectReplied,
    PeerLapsed,
    PeersChanged,
    PutObject,
    ReadRows,
    RecordsCommitted,
    RecordsRejected,
    ScanRows,
    SessionLost,
    SessionOpened,
    StoreReplied,
    Tick,
    Transact,
    WorkerClaimed,
    WorkerDropped,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
)


class FakeStore:
    """Rows with versions and op_ids, and objects.

    ``is_down`` refuses every call. ``loses_answers`` carries calls out and
    answers that the outcome is unknown. Versions grow across all rows, so
    that a row that is deleted and made again never shows an old version.
    """

    def __init__(self):
        self.rows_by_key = {}
        self.objects_by_key = {}
        self.is_down = False
        self.loses_answers = False
        self.write_count = 0
        self._version = 0

    def carry_out(self, effect):
        """Return the reply signal of a store effect, ``None`` for others."""
        if isinstance(effect, (PutObject, GetObject, DeleteObject)):
            return self._object(effect)
        if not isinstance(effect, (Transact, ReadRows, ScanRows)):
            return None
        if self.is_down:
            return StoreReplied(effect.token, StoreFailed(applied=False))
        reply = self._call(effect)
        if self.loses_answers:
            reply = StoreFailed(applied=None)
        return StoreReplied(effect.token, reply)

    def row(self, key):
        """Return a row, at version 0 when absent."""
        return self.rows_by_key.get(key, Row(key))

    def value(self, key):
        return self.row(key).value

    def keys(self, prefix):
        return [
            key for key in sorted(self.rows_by_key) if key.startswith(prefix)
        ]

    def _call(self, effect):
        if isinstance(effect, Transact):
            return self._transact(effect.transaction)
        if isinstance(effect, ReadRows):
            return Rows(tuple(map(self.row, effect.keys)))
        return Rows(tuple(map(self.row, self.keys(effect.prefix))))

    def _transact(self, transaction):
        checked = tuple(self.row(check.key) for check in transaction.checks)
        wanted = [check.version for check in transaction.checks]
        if [row.version for row in checked] != wanted:
            return CheckFailed(checked)
        self._version += 1
        self.write_count += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(
                put.key,
                self._version,
                put.value,
                transaction.op_id,
            )
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
        put_keys = [one.key for one in transaction.puts]
        return Committed(dict.fromkeys(put_keys, self._version))

    def _object(self, effect):
        if self.is_down:
            return ObjectReplied(effect.token, succeeded=False)
        if isinstance(effect, PutObject):
            self.objects_by_key[effect.key] = effect.content
            return ObjectReplied(effect.token, not self.loses_answers)
        if isinstance(effect, DeleteObject):
            self.objects_by_key.pop(effect.key, None)
            return ObjectReplied(effect.token, succeeded=True)
        found = self.objects_by_key.get(effect.key)
        return ObjectReplied(effect.token, succeeded=True, content=found)


class Recorder(Component):
    """Keeps the signals between components, in order, in ``seen``."""

    name = 'recorder'

    def __init__(self):
        self.seen = []

    @handles(
        SessionOpened,
        SessionLost,
        PeersChanged,
        PeerLapsed,
        JournalOpened,
        JournalClosed,
        RecordsCommitted,
        RecordsRejected,
        WorkerClaimed,
        WorkerDropped,
    )
    def on_signal(self, signal, now):
        self.seen.append(signal)
        return ()

    def take(self, *signal_types):
        """Return and forget the kept signals of these types."""
        taken = [one for one in self.seen if isinstance(one, signal_types)]
        self.seen = [one for one in self.seen if one not in taken]
        return taken


class FakeInstance:
    """Components behind a scheduler, joined to a fake store.

    Each call is answered at once, but those of the types in ``held_types`` wait
    in ``held_effects`` for ``release``. Other effects are kept in ``effects``.
    """

    def __init__(self, store, view, *components):
        self.store = store
        self.view = view
        self.recorder = Recorder()
        self.scheduler = Scheduler(
            (*components, self.recorder),
            StoreSettlement(),
        )
        self.effects = []
        self.held_types = ()
        self.held_effects = []

    def deliver(self, signal, now):
        queue = [signal]
        while queue:
            for effect in self.scheduler.deliver(queue.pop(0), now):
                if isinstance(effect, self.held_types):
                    self.held_effects.append(effect)
                else:
                    queue.extend(self._reply_to(effect))

    def release(self, now):
        """Carry the held calls out and deliver their replies."""
        held_effects = self.held_effects
        self.held_effects = []
        self.held_types = ()
        replies = [
            reply for one in held_effects for reply in self._reply_to(one)
        ]
        for reply in replies:
            self.deliver(reply, now)

    def run(self, begin_s, end_s, step_s=0.1):
        """Deliver ticks from ``begin_s`` to ``end_s``."""
        count = round((end_s - begin_s) / step_s)
        for number in range(1, count + 1):
            self.deliver(Tick(), begin_s + number * step_s)

    def _reply_to(self, effect):
        reply = self.store.carry_out(effect)
        if reply is None:
            self.effects.append(effect)
            return []
        return [reply]
