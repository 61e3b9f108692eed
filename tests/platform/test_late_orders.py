"""Two nodes of which the duty's holder is cut off between two orders."""

import json
import tempfile

import eventlet
import testtools
from testtools.content import text_content

from dandelionyoke_platform import _wire_names as wire
from tests.platform.held_path import HeldPath
from tests.platform.node_harness import ScriptedTarget, answer
from tests.platform.program import Program, wait_for
from tests.platform.store_standin import StoreStandin

DOMAINS = ('a', 'b')
DUTY_KEY = 'duty/all/fleet'
# Time for what was held up to arrive once the path has healed.
ARRIVAL_S = 1.0
REPORT = b'{"phase": "prefill", "seq": 0, "busy": false}'
# Of three engines at most, two on-demand ones are wanted and run. The third is
# to be reclaimable; its order is refused and repeated every two seconds.
CONFIGURATION = json.dumps(
    {
        'version': 1,
        'routes': [],
        'services': [
            {
                'name': 'lm',
                'engine': {'slots': 4},
                'scaling': {
                    'max': 3,
                    'spot_price': 0.15,
                    'zone_prices': {'a': 1.0},
                },
            }
        ],
    }
)


class CutOffNode:
    """A node whose paths to the store and to the platform can be cut."""

    def __init__(self, store: StoreStandin, folder: str, domain: str) -> None:
        self._store = store
        self.path = HeldPath(store.address)
        self.program = Program(
            store, folder, domain=domain, duty_address=self.path.address
        )
        self.name = f'n-{self.program.port}'

    def cut_off(self) -> None:
        """Cut both paths."""
        self.path.cut()
        self._store.refused.add(self.program.store_address)

    def duty_renewals(self) -> int:
        """Count the renewals of the duty's lease by this node."""
        lease = self._store.items[DUTY_KEY].lease
        path = f'{wire.LEASE_RENEW_PATH}{lease}'
        return self._store.calls[self.program.store_address, path]

    def order_outcomes(self) -> list[str]:
        """List the logged outcomes of the node's orders."""
        lines = map(json.loads, self.program.log.read_text().splitlines())
        return [
            line['outcome']
            for line in lines
            if line.get('message_type') == 'engines.ordered'
        ]

    def close(self) -> None:
        """Kill the process and close its path."""
        self.program.process.kill()
        self.program.process.wait()
        self.path.close()


class LateOrderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.refuses_orders = True
        engine = ScriptedTarget(lambda _: [answer('200 OK', REPORT, '')])
        self.addCleanup(engine.close)
        for number, phase in enumerate(('prefill', 'decode')):
            entry = {
                'service': 'lm',
                'address': engine.address,
                'zone': 'a',
                'slots': 4,
                'state': 'ready',
                'phase': phase,
            }
            self.store.put(f'servers/i-{number}', json.dumps(entry))
        self.store.put('op/config', CONFIGURATION)
        self.nodes = [
            CutOffNode(self.store, folder, domain) for domain in DOMAINS
        ]
        for node in self.nodes:
            self.addCleanup(node.close)
            self.addOnException(lambda _, node=node: self.show_log(node))
        for node in self.nodes:
            node.program.wait_until_ready()

    def show_log(self, node: CutOffNode) -> None:
        """Attach the log of a node to the test's failure."""
        log = node.program.log.read_text()
        self.addDetail(f'log of {node.name}', text_content(log))

    def cut_off_holder(self) -> CutOffNode:
        """Cut the holder off after an order's answer and a renewal of its duty.

        Its next order is due one to two seconds after that, within its term.
        """
        count = len(self.store.orders)
        wait_for(lambda: len(self.store.orders) > count, 'an order')
        name = self.store.orders[-1].holder
        holder = next(node for node in self.nodes if node.name == name)
        renewals = holder.duty_renewals()
        wait_for(lambda: holder.duty_renewals() > renewals, 'a renewal')
        holder.cut_off()
        return holder

    def test_no_order_of_a_holder_that_is_cut_off_arrives_late(self) -> None:
        """Guards against an order that arrives after its successor's.

        The holder's last order left an idle connection, which the partition
        cuts off. Its kernel aborts the connection before the program resets it,
        and the network delivers what was written once the partition has healed.
        """
        holder = self.cut_off_holder()
        order_count = len(self.store.orders)
        logged_count = len(holder.order_outcomes())
        wait_for(
            lambda: self.store.orders[-1].holder != holder.name,
            "an order of the holder's successor",
        )
        holder.path.heal()
        eventlet.sleep(ARRIVAL_S)
        fences = [order.fence for order in self.store.orders]
        self.assertEqual(sorted(fences), fences)
        holders = {order.holder for order in self.store.orders[order_count:]}
        self.assertNotIn(holder.name, holders)
        # The order came while the path was cut.
        self.assertEqual(
            {'not sent'}, set(holder.order_outcomes()[logged_count:])
        )
