"""In-memory table service, and entry instances that share it."""

from collections.abc import Callable
from random import Random

from msgspec import json

from apricotlead.coordination.allotments import Allotments, AllotmentSettings
from apricotlead.coordination.config_keeper import (
    ConfigKeeper,
    ConfigKeeperSettings,
)
from apricotlead.coordination.gossip import GossipKeeper, GossipSettings
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    Answer,
    JournalOpened,
    PeerReceived,
    ReadRows,
    SendToPeer,
    StoreReplied,
    Tick,
    Transact,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
)
from apricotlead.state.config_view import ConfigView
from apricotlead.state.session_view import PeerSession, SessionView
from apricotlead.state.usage_table import UsageTable

TTL_S = 4.0
STEP_S = 0.05


class TableFake:
    """Rows by key; calls ``on_put(key, before, after)`` for each put."""

    def __init__(self, on_put: Callable | None = None):
        """Start empty."""
        self.rows_by_key = {}
        self.on_put = on_put
        self._version = 0
        self.writes = 0
        self.reads = 0

    def row(self, key):
        """Return the row, version 0 when absent."""
        return self.rows_by_key.get(key, Row(key))

    def carry_out(self, effect):
        """Return the reply to a transaction or a read."""
        if isinstance(effect, ReadRows):
            self.reads += len(effect.keys)
            return Rows(tuple(self.row(key) for key in effect.keys))
        self.writes += 1
        return self._transact(effect.transaction)

    def _transact(self, transaction):
        checked = tuple(self.row(check.key) for check in transaction.checks)
        wanted = tuple(check.version for check in transaction.checks)
        if tuple(row.version for row in checked) != wanted:
            return CheckFailed(checked)
        # Versions grow by more than 1 because the service guarantees only
        # that they increase.
        self._version += 3
        for put in transaction.puts:
            before = self.row(put.key)
            value = json.decode(json.encode(put.value))
            row = Row(put.key, self._version, value, transaction.op_id)
            self.rows_by_key[put.key] = row
            if self.on_put:
                self.on_put(put.key, before, row)
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
        return Committed(
            {written.key: self._version for written in transaction.puts},
        )


class Member:
    """One entry instance with the components under test."""

    def __init__(self, session_id, table, seed=0, settings=None):
        """Build the components of a session that has its own journal."""
        self.table = table
        self.view = SessionView(session_id, 'dc')
        self.config_view = ConfigView()
        self.paused = False
        self.lost = False
        self.calls = []
        self.sent = []
        self.outcomes_by_ticket = {}
        rng = Random(seed)
        self.allotments = Allotments(
            settings or AllotmentSettings(),
            self.view,
            self.config_view,
            rng,
        )
        self.keeper = ConfigKeeper(
            ConfigKeeperSettings(snapshot_every=4, log_rows_per_read=3),
            self.view,
            self.config_view,
        )
        self.usage = UsageTable()
        gossip = GossipKeeper(
            GossipSettings(),
            self.view,
            self.config_view,
            self.usage,
            rng,
            dict,
            lambda: (Resources(), Resources(), Resources()),
        )
        self.scheduler = Scheduler(
            (self.keeper, gossip, self.allotments),
            StoreSettlement(),
        )
        self.journal_id = f'j-{session_id}'

    def open_journal(self, now, journal_id=None, epoch=1):
        """Store the row of a journal and report it as opened."""
        journal_id = journal_id or self.journal_id
        key = f'journal/{journal_id}'
        self.table.rows_by_key[key] = Row(key, 1, epoch)
        self.deliver(JournalOpened(journal_id, epoch), now)

    def deliver(self, signal, now):
        """Deliver a signal; record the resulting calls and messages."""
        for effect in self.scheduler.deliver(signal, now):
            if isinstance(effect, (Transact, ReadRows)):
                self.calls.append(effect)
            elif isinstance(effect, SendToPeer):
                self.sent.append(effect)
            elif isinstance(effect, Answer):
                known = self.outcomes_by_ticket
                assert effect.ticket not in known, 'answered twice'
                known[effect.ticket] = effect.outcome

    def answer(self, call, now, result='done'):
        """Answer one call: done, refused, unsent, lost or late.

        ``lost`` carries the call out but reports an unknown outcome. ``late``
        and ``unsent`` report one without carrying the call out; a late call is
        carried out later by the caller.
        """
        if result in {'done', 'lost'}:
            reply = self.table.carry_out(call)
        if result == 'refused':
            reply = StoreFailed(applied=False)
        elif result != 'done':
            reply = StoreFailed(applied=None)
        self.deliver(StoreReplied(call.token, reply), now)

    def take_calls(self):
        """Return and clear the calls that wait for an answer."""
        calls = self.calls
        self.calls = []
        return calls

    def take_sent(self):
        """Return and clear the messages to peers."""
        sent = self.sent
        self.sent = []
        return sent

    def receive(self, sender, sent, now):
        """Deliver a message from a peer."""
        signal = PeerReceived(sender.view.session_id, sent.message)
        self.deliver(signal, now)

    def settle(self, members_by_id, now):
        """Answer all calls and deliver all messages to known members."""
        for call in self.take_calls():
            self.answer(call, now)
        for sent in self.take_sent():
            receiver = members_by_id.get(sent.session_id)
            if receiver:
                receiver.receive(self, sent, now)

    def write_in_flight(self, now, result='done'):
        """Answer reads with ``result`` until a write is sent; return it."""
        for step in range(100):
            self.tick(now + step * STEP_S)
            for call in self.take_calls():
                if isinstance(call, Transact):
                    return call
                self.answer(call, now + step * STEP_S, result)
        raise AssertionError('nothing was written')

    def tick(self, now):
        """Deliver a tick."""
        self.deliver(Tick(), now)


def connect(members):
    """Make all members peers of each other."""
    for member in members:
        member.view.peers_by_id = {
            other.view.session_id: PeerSession(
                other.view.session_id,
                '127.0.0.1:0',
                'dc',
            )
            for other in members
            if other is not member
        }


def run(members, start_s, seconds, each_step=None):
    """Run without faults in store and links; return the end time."""
    by_id = {member.view.session_id: member for member in members}
    for step in range(int(seconds / STEP_S)):
        now = start_s + step * STEP_S
        for member in members:
            member.view.lease_end_s = now + TTL_S
            member.tick(now)
        if each_step:
            each_step(now)
        for caller in members:
            caller.settle(by_id, now)
    return start_s + int(seconds / STEP_S) * STEP_S
