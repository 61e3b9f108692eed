"""What nodes tell each other of crashes, and what follows from it."""

from typing import Self

import attrs

from dandelionyoke_dispatch._crash_quarantine import QuarantineSettings
from dandelionyoke_dispatch._target_answers import AliveSpan

# A start that is identified lived since long before any crash is remembered.
MAX_ALIVE_AGE_S = 1e9


@attrs.frozen
class CrashSettings:
    """What counts against a key and for it, and what is remembered.

    A key counts in a crash while its call has not begun or has begun less
    than `settled_s` before; an answer that lasted longer began well. A key
    without an answer in the last `memory_s` is refused after `crashes`
    targets, another one after `proven_crashes` in rounds that are `round_s`
    apart: targets that crash at once may share a rack. Calls with a key in
    `suspect_crashes` are not sent again.
    """

    crashes: int = 3
    proven_crashes: int = 5
    suspect_crashes: int = 2
    round_s: float = 1.0
    settled_s: float = 1.0
    memory_s: float = 60.0
    max_crashes: int = 256
    max_answers: int = 8192
    quarantine: QuarantineSettings = attrs.field(factory=QuarantineSettings)


@attrs.frozen
class KeyAnswer:
    """How long ago the last answer to a call with a key began."""

    key: str
    age_s: float


@attrs.frozen
class CrashReport:
    """What a node knows of the crash of a target, and how long ago it was.

    `keys` are those of the calls that broke off, each as often as calls had
    it. A report of answers alone names no target. The target `alive`, if any,
    has answered after its crash was reported; it lived since
    `alive_since_age_s` ago at least.
    """

    target: str
    reporter: str
    age_s: float
    keys: tuple[str, ...] = ()
    answers: tuple[KeyAnswer, ...] = ()
    alive: str = ''
    alive_since_age_s: float = MAX_ALIVE_AGE_S

    def grown_older(self, by_s: float) -> Self:
        """Return the report some time later."""
        return attrs.evolve(
            self,
            age_s=self.age_s + by_s,
            alive_since_age_s=self.alive_since_age_s + by_s,
            answers=tuple(
                attrs.evolve(answer, age_s=answer.age_s + by_s)
                for answer in self.answers
            ),
        )


@attrs.frozen
class BlamedKey:
    """A key that is refused from now on, and the crashes that show it."""

    key: str
    targets: tuple[str, ...]


@attrs.frozen
class CrashFindings:
    """What a report or an answer changes.

    Keys are refused (`blamed`) or served again (`released`) from now on. An
    answer of this node has `cleared` keys that other nodes may still blame.
    """

    blamed: tuple[BlamedKey, ...] = ()
    released: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class UntoldAnswers:
    """Answers of this node that other nodes need to reach its verdicts.

    The keys that they may blame without them, and the targets that they may
    take for dead, with the spans in which these were alive.
    """

    keys: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    spans: tuple[AliveSpan, ...] = ()
