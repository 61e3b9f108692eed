"""The choice of the decode engine by room and pace."""

import testtools

from dandelionyoke_dispatch import (
    DecodeCall,
    EngineRoom,
    EngineRoomSettings,
    LeastBusyDecode,
    LoadReport,
    PaceChoice,
    Phase,
    RegisteredTarget,
    SuspicionSettings,
    TargetLoads,
    TargetSpeeds,
    TargetSpeedSettings,
)

LONG = DecodeCall(tokens=17000, capacity_tokens=100000)
FULL = LoadReport(8, 3, 8, 1.0)


def engine(name: str, domain: str = 'a') -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', domain, 32, False, Phase.DECODE
    )


class PaceChoiceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.room = EngineRoom(EngineRoomSettings())
        self.speeds = TargetSpeeds(TargetSpeedSettings())
        self.loads = TargetLoads(SuspicionSettings())
        otherwise = LeastBusyDecode(self.loads)
        self.choice = PaceChoice(self.room, self.speeds, otherwise)
        self.engines = [engine('e1'), engine('e2'), engine('far', 'b')]

    def choose(self, call: DecodeCall = LONG, at_s: float = 0) -> str:
        return self.choice.choose(self.engines, 'a', call, at_s).target_id

    def start(self, target: RegisteredTarget, call: DecodeCall) -> None:
        self.room.call_started(target, call.tokens)
        self.loads.call_started(target.target_id)

    def test_a_burst_of_long_prompts_overfills_no_engine(self) -> None:
        """Guards against streams that are preempted beside an empty engine.

        Two engines near by have memory for five long prompts each.
        """
        self.speeds.observe(self.engines[0], 1.0, 0)
        chosen = []
        for _ in range(15):
            name = self.choose()
            chosen.append(name)
            target = next(e for e in self.engines if e.target_id == name)
            self.start(target, LONG)
        counts = {e.target_id: chosen.count(e.target_id) for e in self.engines}
        self.assertEqual({'e1': 5, 'e2': 5, 'far': 5}, counts)

    def test_an_engine_is_left_out_while_it_reports_to_be_full(self) -> None:
        """Guards against trust in the own count, and in an old report."""
        self.speeds.observe(self.engines[0], 1.0, 0)
        self.room.reported(self.engines[0], FULL, 0)
        for _ in range(3):
            self.start(self.engines[1], DecodeCall(100))
        self.assertEqual('e2', self.choose())
        self.assertEqual('e1', self.choose(at_s=2))

    def test_the_slower_of_two_engines_gets_fewer_streams(self) -> None:
        """Guards against equal shares for engines of unequal speed."""
        self.speeds.observe(self.engines[0], 2.0, 0)
        for target in self.engines[:2]:
            for _ in range(4):
                self.start(target, DecodeCall(100))
        self.assertEqual('e2', self.choose())

    def test_others_are_chosen_as_before(self) -> None:
        """Guards against a change for engines that do not report."""
        for _ in range(5):
            self.room.call_started(self.engines[0], LONG.tokens)
        self.loads.call_started('e2')
        self.assertEqual('e1', self.choose())
