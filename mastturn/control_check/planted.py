"""Planted defects with the bounds or seeds that expose them, for the command and the tests."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from mastturn.control_check.defects import (
    AnswersBeforeOwnSync,
    AnswersBeforeSync,
    AnswersFromMinority,
    ConfirmsBothOfARace,
    ConfirmsOneNumberTwice,
    EndsAtOnce,
    HoldersShrinkAlone,
    LeadsWithAnOldDisk,
    PromisesBeforeSync,
    ReadsWithoutProof,
    RefusesARepeat,
    RefusesWithoutProof,
    SkipsAChange,
    SuccessorWithoutMajority,
    WipedVotes,
)
from mastturn.control_check.explore import SearchResult, explore
from mastturn.control_check.history import History, play
from mastturn.control_check.local import ReplicaFactory
from mastturn.control_check.losses import Outcome, Replacement, cases
from mastturn.control_check.shape import STORM_LINK, Shape
from mastturn.control_check.state import Bounds

PROMISED_TO_1 = ("run 1", "sync 1", "deliver Prepare 1 2")
TAKEN_OVER = (
    *PROMISED_TO_1,
    *("sync 2", "deliver Promise 2 1", "settle 1", "deliver InstallView 1 2", "sync 2", "sync 1"),
    "deliver InstallViewAck 2 1",
)
WRITTEN = (*TAKEN_OVER, "submit 0 1", "sync 1", "deliver WriteRequest 1 2", "sync 2", "deliver WriteAck 2 1")
PROMISED_TWICE = (
    *(*PROMISED_TO_1, "deliver Promise 2 1"),
    *("crash 2", "run 0", "sync 0", "deliver Prepare 0 2", "deliver Promise 2 0", "settle 0", "settle 1"),
)
ACKNOWLEDGED = ("sync 0", "deliver WriteRequest 0 1", "sync 1", "deliver WriteAck 1 0")
TWO_ACKNOWLEDGED = ("submit 0 0", *ACKNOWLEDGED, "submit 1 0", *ACKNOWLEDGED)
LOGGED = ("submit 0 0", "sync 0", "run 0", "sync 0")
WRITE_LOST = ("submit 0 0", "deliver WriteRequest 0 1", "crash 1", "run 1")
STORM = Shape(3, 1, sync_ms=20.0, storm=True, air=STORM_LINK)


@dataclass(frozen=True, slots=True)
class SearchCase:
    """A defect that the search finds after given initial steps."""

    name: str
    rule: str  # the rule that it breaks
    make: ReplicaFactory
    bounds: Bounds

    def show(self) -> SearchResult:
        """Returns the search result, with the shortest history that breaks a rule."""
        return explore(self.bounds, self.make)


SEARCHED = (
    SearchCase(
        "an answer before the backup's sync",
        "no loss",
        AnswersBeforeSync,
        Bounds(writes=1, tries=1, campaigns=1, crashes=1, before=WRITE_LOST),
    ),
    SearchCase(
        "an epoch that is promised before its sync",
        "one primary",
        PromisesBeforeSync,
        Bounds(writes=0, before=PROMISED_TWICE),
    ),
    SearchCase(
        "a wiped process that votes",
        "one primary",
        WipedVotes,
        Bounds(tries=1, writes=1, crashes=0, wipes=1, before=(*WRITTEN, "wipe 2", "run 0")),
    ),
    SearchCase(
        "an old primary that answers reads",
        "old answer",
        ReadsWithoutProof,
        Bounds(tries=1, writes=1, reads=1, campaigns=1, crashes=0, before=WRITTEN),
    ),
    SearchCase(
        "a successor that leads beside one that is elected",
        "no loss",
        SuccessorWithoutMajority,
        Bounds(writes=1, tries=1, campaigns=2, crashes=0, before=("run 1",)),
    ),
    SearchCase(
        "an answer before the leader's own sync",
        "no loss",
        AnswersBeforeOwnSync,
        Bounds(writes=1, tries=1, campaigns=1, crashes=1),
    ),
    SearchCase(
        "an answer from a minority",
        "no loss",
        AnswersFromMinority,
        Bounds(writes=1, tries=1, campaigns=1, crashes=0),
    ),
    SearchCase(
        "412 from a deposed leader",
        "old answer",
        RefusesWithoutProof,
        Bounds(writes=2, chained=1, tries=1, campaigns=1, crashes=0, before=WRITTEN[:-5]),
    ),
    SearchCase(
        "two changes on one version confirmed",
        "race",
        ConfirmsBothOfARace,
        Bounds(writes=2, tries=1, campaigns=0, crashes=0),
    ),
    SearchCase(
        "one number confirmed twice",
        "no loss",
        ConfirmsOneNumberTwice,
        Bounds(writes=2, tries=1, reads=1, campaigns=0, crashes=0, same_number=True),
    ),
    SearchCase(
        "a repeat refused",
        "refused",
        RefusesARepeat,
        Bounds(writes=1, chained=1, tries=2, reads=1, campaigns=0, crashes=0, before=TWO_ACKNOWLEDGED),
    ),
    SearchCase(
        "a view that skips a change",
        "no loss",
        SkipsAChange,
        Bounds(writes=1, tries=1, campaigns=2, crashes=0, before=LOGGED),
    ),
    SearchCase(
        "a member with an old disk that leads",
        "no loss",
        LeadsWithAnOldDisk,
        Bounds(writes=1, tries=1, campaigns=2, crashes=0, before=LOGGED),
    ),
)


def ends_at_once() -> Iterator[Outcome]:
    """Yields replacements with a further loss, where a holder may end before its data is replicated."""
    return (Replacement(case, EndsAtOnce).play() for case in cases(3))


def shrinks(seeds: range = range(8)) -> Iterator[History]:
    """Yields simulated histories in which the set of holders shrinks without a majority."""
    return (play(Shape(3, 1), seed, HoldersShrinkAlone) for seed in seeds)


def failed_syncs(seeds: tuple[int, ...] = (9, 214)) -> Iterator[History]:
    """Yields simulated histories in which a failed sync is treated as successful."""
    return (play(STORM, seed, handles_disk_errors=False) for seed in seeds)


def brief(line: str) -> str:
    """Returns a short form of a message, as `1 to 2 Prepare 2`; other steps unchanged."""
    message = re.match(r"10\.0\.(\d+)\.1 -> 10\.0\.(\d+)\.1 (\w+)\((.*)", line)
    if message is None:
        return line
    epoch = re.search(r"epoch=(\d+)", message[4])
    return f"{message[1]} to {message[2]} {message[3]} {epoch[1] if epoch else ''}".strip()
