"""Contract tests of a table service and object store, via the client."""

from msgspec.json import encode
from testtools import TestCase

from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    ObjectReply,
    Put,
    Row,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.http_pool import HttpCall
from apricotlead.transport.platform_client import PlatformClient
from apricotlead_standins.platform import Platform, PlatformSettings
from tests.standin_harness import InMemory, OverHttp


def write(op_id, key, version, value):
    """Return a transaction that writes one row if it is at ``version``."""
    return Transaction(op_id, key, (Check(key, version),), (Put(key, value),))


class StoreContract:
    """The guarantees that callers rely on."""

    def setUp(self):
        """Make an empty platform."""
        super().setUp()
        self.make(PlatformSettings())

    def make(self, settings):
        """Make a platform with the given rate limits."""
        self.site = self.harness(lambda _: Platform(settings))
        self.addCleanup(self.site.close)
        self.client = PlatformClient(self.site.pool, self.site.address, 5)

    def row(self, key):
        """Read one row."""
        return self.client.read_rows((key,)).rows[0]

    def assert_refused(self, reply):
        """Check that the platform reports that it applied nothing."""
        self.assertIsInstance(reply, StoreFailed)
        self.assertIs(False, reply.applied)
        self.assertGreater(reply.retry_after_s, 0)

    def assert_unknown(self, reply):
        """Check that nothing is claimed about the outcome."""
        self.assertIsInstance(reply, StoreFailed)
        self.assertIsNone(reply.applied)

    def test_values_are_preserved(self):
        """Guards against a value that changes in transit."""
        value = {'text': 'жалпы', 'list': [1, 2.5, None, {}], 'flag': False}
        reply = self.client.transact(write('op', 'k', 0, value))
        self.assertIsInstance(reply, Committed)
        self.assertEqual(
            Row('k', reply.versions['k'], value, 'op'),
            self.row('k'),
        )
        self.assertEqual(Row('absent'), self.row('absent'))

    def test_one_failed_check_prevents_all_writes(self):
        """Guards against a partially applied transaction."""
        self.client.transact(write('first', 'a', 0, 1))
        reply = self.client.transact(
            Transaction(
                'second',
                'b',
                (Check('b', 0), Check('a', 0)),
                (Put('b', 2),),
                ('a',),
            ),
        )
        self.assertEqual(
            CheckFailed((Row('b'), self.row('a'))),
            reply,
        )
        self.assertEqual(
            (1, 'first'), (self.row('a').value, self.row('a').op_id)
        )
        self.assertEqual(Row('b'), self.row('b'))

    def test_lost_answer_is_resolved_by_a_repeat(self):
        """Guards against a write that applies twice or appears to fail."""
        transaction = write('op', 'k', 0, 1)
        self.site.set_faults(lose_answers=1)
        self.assert_unknown(self.client.transact(transaction))
        repeat = self.client.transact(transaction)
        self.assertIsInstance(repeat, CheckFailed)
        self.assertEqual('op', repeat.row('k').op_id)

    def test_version_is_not_used_again_after_delete(self):
        """Guards against a check that passes for a recreated row."""
        first = self.client.transact(write('a', 'k', 0, 1)).versions['k']
        self.client.transact(
            Transaction('b', 'k', (Check('k', first),), (), ('k',)),
        )
        self.assertEqual(Row('k'), self.row('k'))
        second = self.client.transact(write('c', 'k', 0, 1)).versions['k']
        self.assertGreater(second, first)
        third = self.client.transact(write('d', 'k', second, 1)).versions['k']
        self.assertGreater(third, second)

    def test_scan_is_ordered_and_keeps_to_the_prefix(self):
        """Guards against missing, unrelated or unordered rows."""
        for key in ('a/2', 'a0', 'a/10', 'a', 'a/', 'b', 'a/1'):
            self.client.transact(write(key, key, 0, key))
        self.client.transact(
            Transaction(
                'x',
                'a/1',
                (Check('a/1', self.row('a/1').version),),
                (),
                ('a/1',),
            ),
        )
        keys = [row.key for row in self.client.scan_rows('a/').rows]
        self.assertEqual(['a/', 'a/10', 'a/2'], keys)

    def test_malformed_transactions_are_refused_whole(self):
        """Guards against partial writes of transactions beyond the limits."""
        check = (Check('k', 0),)
        cases = {
            'rows': Transaction(
                'op',
                'k',
                check,
                (Put('k', 1), *(Put(f'k{number}', 1) for number in range(200))),
            ),
            'bytes': write('op', 'k', 0, 'x' * (1 << 20)),
            'key written twice': Transaction(
                'op',
                'k',
                check,
                (Put('k', 1), Put('k', 2)),
            ),
            'no repeat could be told': Transaction(
                'op',
                'k',
                (),
                (Put('k', 1),),
            ),
        }
        for name, transaction in cases.items():
            self.assert_refused(self.client.transact(transaction))
            self.assertEqual(Row('k'), self.row('k'), name)

    def test_outage_applies_nothing(self):
        """Guards against a refused write that was applied."""
        self.site.set_faults(outage=True)
        self.assert_refused(self.client.transact(write('op', 'k', 0, 1)))
        self.assert_refused(self.client.scan_rows(''))
        self.assert_refused(self.client.list_instances())
        self.assertEqual(ObjectReply(False), self.client.get_object('k'))
        self.site.set_faults()
        self.assertEqual(Row('k'), self.row('k'))

    def test_unexplained_failure_is_unknown(self):
        """Guards against a write that is taken as refused without proof."""
        self.site.set_faults(fails_everything=True)
        self.assert_unknown(self.client.transact(write('op', 'k', 0, 1)))

    def test_cut_off_caller_gets_no_answer(self):
        """Guards against a write from a data centre that is cut off."""
        client = PlatformClient(self.site.pool, self.site.address, 0.2)
        self.site.set_faults(cut_datacentres=('marka',))
        self.assert_unknown(client.transact(write('op', 'k', 0, 1)))
        self.site.set_faults(cut_datacentres=('abdali',))
        self.assertEqual(Row('k'), self.row('k'))

    def test_above_the_cap_is_refused_and_not_applied(self):
        """Guards against a rate limit that loses or delays writes."""
        self.make(PlatformSettings(writes_per_s=0.5))
        writes = [write(f'op{number}', f'k{number}', 0, 1) for number in 'ab']
        self.assertIsInstance(self.client.transact(writes[0]), Committed)
        refused = self.client.transact(writes[1])
        self.assert_refused(refused)
        self.assertEqual(Row('kb'), self.row('kb'))
        self.site.pass_time(refused.retry_after_s + 0.01)
        self.assertIsInstance(self.client.transact(writes[1]), Committed)

    def test_objects(self):
        """Guards against changed contents and confused keys."""
        key = 'snapshot/a b?é#%2F'
        self.assertEqual(ObjectReply(True), self.client.get_object(key))
        content = bytes(range(256)) * 9
        self.assertEqual(ObjectReply(True), self.client.put_object(key, b''))
        self.client.put_object(key, content)
        self.assertEqual(
            ObjectReply(True, content),
            self.client.get_object(key),
        )
        self.assertEqual(ObjectReply(True), self.client.delete_object(key))
        self.assertEqual(ObjectReply(True), self.client.get_object(key))


class TestPlatformInMemory(StoreContract, TestCase):
    """The contract tests without sockets."""

    harness = InMemory

    def test_caps_hold_over_a_second(self):
        """Guards against rate limits far from 400 writes and 2,000 reads."""
        writes = 0
        reads = 0
        for step in range(10_000):
            self.site.pass_time(0.001)
            reply = self.client.transact(write('op', f'k{step}', 0, 1))
            writes += isinstance(reply, Committed)
            for _ in range(3):
                reply = self.client.read_rows(('k0',))
                reads += not isinstance(reply, StoreFailed)
        # The rate over ten seconds plus at most a burst of a quarter second.
        self.assertIn(writes, range(4000, 4101))
        self.assertIn(reads, range(20_000, 20_501))

    def test_list_lags_and_forgets_silent_instances(self):
        """Guards against a list that is more current than the platform's."""
        instance = {
            'instance_id': 'w',
            'role': 'worker',
            'address': '127.0.0.1:1',
            'datacentre': 'marka',
        }
        shown = []
        self.register(instance, ttl_s=5)
        for _ in range(8):
            shown.append(len(self.client.list_instances().instances))
            self.site.pass_time(1)
        self.assertEqual([0, 1, 1, 1, 1, 1, 0, 0], shown)
        self.register({**instance, 'leaving': True})
        self.site.pass_time(1)
        self.assertTrue(self.client.list_instances().instances[0].leaving)
        self.register(instance, removed=True)
        self.site.pass_time(1)
        self.assertEqual((), self.client.list_instances().instances)

    def register(self, instance, **options):
        """Register an instance as the instance itself would."""
        body = encode({'instance': instance, **options})
        self.site.pool.call(
            HttpCall('POST', self.site.address, '/admin/instances', body),
        )


class TestPlatformOverHttp(StoreContract, TestCase):
    """The contract tests over loopback."""

    harness = OverHttp
