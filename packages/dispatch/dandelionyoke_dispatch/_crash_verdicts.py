"""Which keys are blamed for the crashes that they were in."""

import itertools
from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._crash_evidence import KeyCrashes
from dandelionyoke_dispatch._crash_reports import CrashSettings


@attrs.frozen
class Verdicts:
    """The keys that are blamed, and the crashes that they explain."""

    keys: frozenset[str] = frozenset()
    explained: frozenset[str] = frozenset()


def is_sufficient(crashes: KeyCrashes, settings: CrashSettings) -> bool:
    """Whether a key was in enough crashes to be blamed."""
    times_s = crashes.times_s.values()
    if not crashes.is_proven:
        return len(times_s) >= settings.crashes
    if len(times_s) < settings.proven_crashes:
        return False
    return max(times_s) - min(times_s) >= settings.round_s


def judge(suspects: Iterable[KeyCrashes], settings: CrashSettings) -> Verdicts:
    """Blame the keys that explain the crashes of all suspects.

    Keys without an answer go first. Of the others, only those count whose
    crashes are still unexplained.
    """
    suspects = tuple(suspects)
    verdicts = _blame(
        [crashes for crashes in suspects if not crashes.is_proven], Verdicts()
    )
    unexplained = [
        _without(crashes, verdicts.explained)
        for crashes in suspects
        if crashes.is_proven
    ]
    return _blame(
        [
            crashes
            for crashes in unexplained
            if is_sufficient(crashes, settings)
        ],
        verdicts,
    )


def _blame(suspects: Iterable[KeyCrashes], verdicts: Verdicts) -> Verdicts:
    """Blame each key in a crash that no key of more crashes explains.

    Keys of equally many crashes cannot be told apart: all of them are blamed.
    """
    by_count = sorted(suspects, key=_count, reverse=True)
    for _, group in itertools.groupby(by_count, key=_count):
        blamed = [
            crashes
            for crashes in group
            if not crashes.times_s.keys() <= verdicts.explained
        ]
        verdicts = Verdicts(
            verdicts.keys.union(crashes.key for crashes in blamed),
            verdicts.explained.union(*(crashes.times_s for crashes in blamed)),
        )
    return verdicts


def _count(crashes: KeyCrashes) -> int:
    return len(crashes.times_s)


def _without(crashes: KeyCrashes, explained: frozenset[str]) -> KeyCrashes:
    return attrs.evolve(
        crashes,
        times_s={
            target: crashed_s
            for target, crashed_s in crashes.times_s.items()
            if target not in explained
        },
    )
