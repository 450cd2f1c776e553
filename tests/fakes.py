"""In-memory table service and object store for tests."""

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
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics


class FakeStore:
    """Rows with versions and op_ids, and objects.

    With ``is_down`` every call fails without effect. With ``loses_answers``
    calls are carried out but their outcome is reported as unknown. All rows
    share one version counter, so a row that is deleted and created again never
    has an old version.
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
        """Return a row, with version 0 if it is absent."""
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
    """Records the signals between components, in order, in ``recorded``."""

    name = 'recorder'

    def __init__(self):
        self.recorded = []

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
        self.recorded.append(signal)
        return ()

    def take(self, *signal_types):
        """Return and remove the recorded signals of these types."""
        taken = [one for one in self.recorded if isinstance(one, signal_types)]
        self.recorded = [one for one in self.recorded if one not in taken]
        return taken


class FakeInstance:
    """Components with a scheduler, connected to a fake store.

    Each call is answered at once, except that those of ``held_types`` wait in
    ``held_effects`` for ``release``. Other effects are added to ``effects``.
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
        """Carry out the held calls and deliver their replies."""
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


class UncalledWorkers:
    """Client of the platform's workers in a cell without any."""

    def __init__(self):
        self.is_connected = True

    def close_connections(self):
        """Record that the connections were closed."""
        self.is_connected = False


def unlogged_links(store):
    """Return the links of a term that calls only ``store``."""
    return CellLinks(
        store,
        UncalledWorkers(),
        '',
        lambda row: None,
        lambda address, question: None,
        lambda kind, **fields: None,
        CellMetrics(),
    )
