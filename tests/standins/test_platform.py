"""Tests of the platform model in virtual time, and of its HTTP calls."""

import concurrent.futures
import contextlib
import itertools
from typing import Any

import attrs
import urllib3
from testtools import TestCase

from dandelionyoke_standins import (
    ConflictError,
    Instance,
    LostAnswerError,
    MissingError,
    OutageError,
    PlatformModel,
    PlatformSettings,
    RateLimitError,
    StoreChanges,
    StoreEntry,
    Target,
    TargetOrder,
    TargetSettings,
    TooLargeError,
    UsageWindow,
)
from tests.standins.processes import Answer, ProcessTestCase, Standin
from tests.standins.test_store import StoreContract

ERRORS = {404: MissingError, 409: ConflictError, 413: TooLargeError}


def order(order_id: str, fence: int, **overrides: object) -> TargetOrder:
    fields = {'domain': 'moin-a', 'service': 'modelo-lm', 'action': 'add'}
    return TargetOrder(order_id, fence, **{**fields, **overrides})


def target(target_id: str, **overrides: object) -> Target:
    return Target(target_id, 'modelo-lm', 'moin-a', 'http://x', **overrides)


class TargetsTest(TestCase):
    def test_an_added_target_takes_time_to_boot(self) -> None:
        model = PlatformModel(PlatformSettings(targets=TargetSettings(3)))
        answer = model.order_targets(order('1', 1, count=2), 10)
        self.assertEqual('accepted', answer.state)
        self.assertEqual((), model.targets(12.9))
        self.assertEqual(2, len(model.targets(13)))
        again = model.order_targets(order('1', 1, count=2), 14)
        self.assertEqual('done', again.state)
        self.assertEqual(2, len(model.targets(30)))
        self.assertEqual(2, len(model.record.orders))

    def test_an_order_with_a_stale_fencing_token_is_refused(self) -> None:
        model = PlatformModel()
        model.replace_targets([target('t1')], [])
        model.order_targets(order('1', 5, count=1), 0)
        stale = order('2', 4, action='remove', target_ids=['t1'])
        answer = model.order_targets(stale, 0)
        self.assertEqual(
            ('refused', 'stale_fence'), (answer.state, answer.cause)
        )
        self.assertEqual('live', model.targets(0)[0].state)
        other_domain = order('3', 4, count=1, domain='moin-b')
        self.assertEqual('accepted', model.order_targets(other_domain, 0).state)

    def test_a_removed_target_is_listed_as_leaving_first(self) -> None:
        model = PlatformModel(PlatformSettings(targets=TargetSettings(3, 5)))
        model.replace_targets([target('t1'), target('t2')], [])
        leaving = order('1', 1, action='remove', target_ids=['t1'])
        model.order_targets(leaving, 0)
        states = {entry.target_id: entry.state for entry in model.targets(4)}
        self.assertEqual({'t1': 'leaving', 't2': 'live'}, states)
        self.assertEqual(
            ['t2'], [entry.target_id for entry in model.targets(5)]
        )

    def test_spot_targets_are_reclaimed_after_a_notice(self) -> None:
        model = PlatformModel()
        spot = target('t1', reclaimable=True)
        model.replace_targets([spot, target('t2')], [])
        model.reclaim_targets('moin-a', 2, 0)
        self.assertEqual(
            ['leaving', 'live'], [entry.state for entry in model.targets(1)]
        )
        self.assertEqual(
            ['reclaimed', 'live'], [entry.state for entry in model.targets(2)]
        )

    def test_an_order_uses_a_spare_or_is_refused(self) -> None:
        settings = TargetSettings(boot_s=1, invents_addresses=False)
        model = PlatformModel(PlatformSettings(targets=settings))
        model.replace_targets([], [target('spare')])
        taken = model.order_targets(order('1', 1, count=1), 0)
        self.assertEqual('accepted', taken.state)
        refused = model.order_targets(order('2', 1, count=1), 0)
        self.assertEqual('no_spare', refused.cause)
        self.assertEqual('http://x', model.targets(1)[0].address)


class PlatformModelTest(TestCase):
    def test_the_instance_list_lags(self) -> None:
        model = PlatformModel(PlatformSettings(lag_s=2))
        live = Instance('i1', 'moin-a', 'caller', 'peer')
        leaving = attrs.evolve(live, state='leaving')
        model.list_instance(live, 10)
        model.list_instance(leaving, 20)
        model.unlist_instance('i1', 30)
        seen = [model.instances(now_s) for now_s in (11, 12, 21, 22, 31, 32)]
        self.assertEqual(
            [(), (live,), (live,), (leaving,), (leaving,), ()], seen
        )

    def test_every_usage_report_is_recorded_repeats_too(self) -> None:
        model = PlatformModel()
        window = UsageWindow('w1', 'moin-a', 1, 'i1', [{'requests': 3}])
        other = attrs.evolve(window, figures=[{'requests': 4}])
        for now_s, report in enumerate((window, other, window)):
            model.report_usage(report, now_s)
        received = [entry.window for entry in model.record.usage]
        self.assertEqual([window, other, window], received)

    def test_faults_affect_only_their_keys(self) -> None:
        model = PlatformModel()
        model.faults.keys = 'config/'
        model.faults.outage = True
        self.assertRaises(
            OutageError, model.begin_call, 'read', 'config/head', 0
        )
        model.begin_call('read', 'usage/i1', 0)
        model.faults.outage = False
        model.faults.lose_answers = 1
        model.finish_write('usage/i1')
        self.assertRaises(LostAnswerError, model.finish_write, 'config/head')
        model.finish_write('config/head')

    def test_calls_over_the_rate_limit_are_refused_and_counted(self) -> None:
        limits = {'store_reads': 3}
        model = PlatformModel(PlatformSettings(limits_per_s=limits))
        for kind in ('read', 'list', 'watch'):
            model.begin_call(kind, 'a', 0.5)
        self.assertRaises(RateLimitError, model.begin_call, 'read', 'a', 0.9)
        model.begin_call('read', 'a', 1)
        counts = model.meter.counts
        self.assertEqual(5, counts.calls['store_reads'])
        self.assertEqual(4, counts.highest_per_s['store_reads'])
        self.assertEqual(2, counts.highest_per_s['read'])


class HttpStore:
    """A client for the store over HTTP; the process uses its own clock.

    Each client has its own key prefix, so that tests can share a process.
    """

    _prefix_numbers = itertools.count()

    def __init__(self, standin: Standin) -> None:
        self._standin = standin
        self._prefix = f'part-{next(self._prefix_numbers)}/'

    def read(self, key: str) -> StoreEntry:
        answer = self._standin.call('GET', self._path(key))
        return self._entry(answer.body)

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> StoreEntry:
        body = {
            'value': value,
            'expected_revision': expected_revision,
            'lease_id': lease_id,
        }
        answer = self._standin.call('PUT', self._path(key), body)
        return self._entry(_checked(answer))

    def delete(self, key: str, expected_revision: int) -> StoreEntry:
        path = f'{self._path(key)}?expected_revision={expected_revision}'
        return self._entry(_checked(self._standin.call('DELETE', path)))

    def list_prefix(self, prefix: str) -> StoreChanges:
        return self._changes(f'/store/list?prefix={self._prefix}{prefix}')

    def changes_after(self, prefix: str, revision: int) -> StoreChanges:
        return self.watch(prefix, revision, 0)

    def watch(self, prefix: str, revision: int, wait_s: float) -> StoreChanges:
        return self._changes(
            f'/store/watch?prefix={self._prefix}{prefix}'
            f'&after={revision}&wait_s={wait_s}'
        )

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        answer = self._standin.call('POST', '/store/leases', {'ttl_s': ttl_s})
        return _checked(answer)['lease_id']

    def renew_lease(self, lease_id: str, now_s: float) -> float:
        path = f'/store/leases/{lease_id}/renew'
        return _checked(self._standin.call('POST', path))['ttl_s']

    def revoke_lease(self, lease_id: str, now_s: float) -> None:
        _checked(self._standin.call('DELETE', f'/store/leases/{lease_id}'))

    def _path(self, key: str) -> str:
        return f'/store/value/{self._prefix}{key}'

    def _changes(self, path: str) -> StoreChanges:
        body = self._standin.call('GET', path).body
        return StoreChanges(
            body['revision'], tuple(map(self._entry, body['items']))
        )

    def _entry(self, body: dict[str, Any]) -> StoreEntry:
        key = body['key'].removeprefix(self._prefix)
        return StoreEntry(**{**body, 'key': key})


def _checked(answer: Answer) -> dict[str, Any]:
    if answer.status != 200:
        raise ERRORS[answer.status](**answer.body)
    return answer.body


class HttpStoreTest(StoreContract, TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.platform = Standin('platform')
        cls.addClassCleanup(cls.platform.stop)

    def make_store(self) -> HttpStore:
        return HttpStore(self.platform)

    def test_a_waiting_watch_sees_a_lease_expire(self) -> None:
        store = self.make_store()
        lease_id = store.grant_lease(0.3, 0)
        held = store.write('duty', 'mine', 0, lease_id)
        seen = store.watch('duty', held.revision, 15)
        self.assertEqual([None], [entry.value for entry in seen.items])
        self.assertRaises(MissingError, store.renew_lease, lease_id, 0)

    def test_a_waiting_watch_sees_a_write(self) -> None:
        store = self.make_store()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            seen = pool.submit(store.watch, 'a', 0, 15)
            store.write('b', 'other', 0)
            store.write('a', 'one', 0)
            items = seen.result().items
        self.assertEqual(['one'], [entry.value for entry in items])


class PlatformProcessTest(ProcessTestCase):
    def test_a_lost_answer_has_taken_effect(self) -> None:
        # The store applies the write, and the connection closes before the
        # answer. The writer can't distinguish this from a lost request.
        platform = self.standin('platform')
        platform.call('POST', '/standin/faults', {'lose_answers': 1})
        body = {'value': 'one', 'expected_revision': 0}
        with contextlib.suppress(urllib3.exceptions.ProtocolError):
            platform.call('PUT', '/store/value/a', body)
            self.fail('the answer arrived')
        answer = platform.call('GET', '/store/value/a')
        self.assertEqual('one', answer.body['value'])

    def test_an_outage_refuses_and_ends(self) -> None:
        platform = self.standin('platform')
        platform.call('POST', '/standin/faults', {'outage': True})
        for path in ('/store/value/a', '/store/list', '/targets'):
            self.assertEqual(503, platform.call('GET', path).status)
        platform.call('POST', '/standin/faults', {'outage': False})
        self.assertEqual(404, platform.call('GET', '/store/value/a').status)

    def test_orders_targets_and_usage_are_recorded(self) -> None:
        platform = self.standin('platform', '--boot-s', '0')
        spare = attrs.asdict(target('spare'))
        platform.call('POST', '/standin/targets', {'spares': [spare]})
        given = {**attrs.asdict(order('1', 1, count=1)), 'target_ids': []}
        platform.call('POST', '/targets/orders', given)
        listed = platform.call('GET', '/targets').body['targets']
        self.assertEqual(['spare'], [entry['target_id'] for entry in listed])
        window = attrs.asdict(UsageWindow('w1', 'moin-a', 1, 'i1'))
        window['figures'] = [{'organisation': 'duka', 'requests': 3}]
        platform.call('POST', '/usage/windows', window)
        record = platform.call('GET', '/standin/record').body
        self.assertEqual(given, record['orders'][0]['order'])
        self.assertEqual(window, record['usage'][0]['window'])
        calls = platform.call('GET', '/standin/counts').body['calls']
        self.assertEqual((1, 1), (calls['order'], calls['usage']))

    def test_a_malformed_call_gets_status_400(self) -> None:
        platform = self.standin('platform')
        answers = [
            platform.call('PUT', '/store/value/a', {'value': 'x'}),
            platform.call('POST', '/targets/orders', {'order_id': '1'}),
            platform.call('POST', '/standin/faults', {'no_such': 1}),
        ]
        self.assertEqual([400, 400, 400], [entry.status for entry in answers])

    def test_stand_ins_stop_on_sigterm(self) -> None:
        for kind in ('platform', 'engine', 'plain'):
            self.assertEqual(0, Standin(kind).stop())
