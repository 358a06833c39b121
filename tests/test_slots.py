"""The state on disk: what was acknowledged survives a loss of power, a kill or a refusal by the disk.

The simulated disk follows the rules of real machines. After a loss of power, a file holds what its last sync
covered, and each later write is present, torn or missing. Each test interrupts a run at some call and
restarts from every disk that may be left.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import os
import random
import threading
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from config.errors import DiskError
from consensus.disk_queue import MAX_GROUP_BYTES, DiskQueue
from consensus.disk_store import _CHAIN as CHAIN
from consensus.disk_store import MAX_RECORD_BYTES, Loaded, Store
from consensus.disk_store import _frame as frame_of
from consensus.files import Files, OsFiles

FOLDER = Path("/data")
TIMEOUT_S = 10.0  # Time limit for waits.
NOTHING, HEAD, TAIL, ALL = "nothing", "head", "tail", "all"
# A failed sync leaves its writes to the next sync, or has written them after all, or loses them for good.
STAYS, LANDS, DROPS = "stays", "lands", "drops"


class ProcessEnded(BaseException):
    """Ends the simulated process immediately."""


@dataclass(frozen=True)
class Write:
    """A write, or a truncation if `data` is None, that no sync has covered yet."""

    at: int
    data: bytes | None

    def cuts(self) -> tuple[str, ...]:
        """Returns the possible remains of the write after a loss of power."""
        if self.data is None:
            return (NOTHING, ALL)
        return (NOTHING, HEAD, TAIL, ALL) if len(self.data) > 1 else (NOTHING, ALL)

    def onto(self, old: bytes, cut: str) -> bytes:
        if cut == NOTHING:
            return old
        if self.data is None:
            return old[: self.at].ljust(self.at, b"\0")
        half = len(self.data) // 2
        data, at = self.data, self.at
        if cut == HEAD:
            data = data[:half]
        elif cut == TAIL:
            data, at = data[half:], at + half
        old = old.ljust(at, b"\0")
        return old[:at] + data + old[at + len(data) :]


Failing = Callable[[int, str], int | None]  # From a call's number and kind to its errno, None for success.


def never(call: int, what: str) -> int | None:
    return None


def fail_kinds(kinds: Sequence[str], first: int = 0, code: int = errno.ENOSPC) -> Failing:
    """Refuses all calls of these kinds from the first on."""
    return lambda call, what: code if call >= first and what in kinds else None


def fail_at(first: int, count: int, code: int) -> Failing:
    """Refuses consecutive calls of any kind."""
    return lambda call, what: code if first <= call < first + count else None


@dataclass
class Disk(Files):
    """A simulated disk; `calls` counts all calls, and `stop_at` ends the process before that call."""

    visible: dict[str, bytes] = field(default_factory=dict)  # What the process reads.
    durable: dict[str, bytes] = field(default_factory=dict)  # What the last sync covered.
    pending: dict[str, list[Write]] = field(default_factory=dict)
    calls: int = 0
    stop_at: int | None = None
    failing: Failing = never
    torn_on_failure: str = NOTHING
    failed_sync: str = STAYS  # What happens to the writes of a failed sync.
    syncs: int = 0
    strict: bool = False  # A new file name becomes durable only with a sync of the folder.
    linked: set[str] = field(default_factory=set)

    def _call(self, what: str) -> None:
        call, self.calls = self.calls, self.calls + 1
        if call == self.stop_at:
            raise ProcessEnded
        if (code := self.failing(call, what)) is not None:
            raise OSError(code, "refused")

    def names(self, folder: Path) -> list[str]:
        assert folder == FOLDER
        self._call("names")
        return sorted(self.visible)

    def read(self, path: Path) -> bytes:
        self._call("read")
        return self.visible[path.name]

    def _apply(self, name: str, write: Write) -> None:
        self.pending.setdefault(name, []).append(write)
        self.visible[name] = write.onto(self.visible.get(name, b""), ALL)

    def write(self, path: Path, offset: int, data: bytes) -> None:
        try:
            self._call("write")
        except OSError:
            part = {NOTHING: 0, HEAD: len(data) // 2, ALL: len(data)}[self.torn_on_failure]
            if part:
                self._apply(path.name, Write(offset, data[:part]))
            raise
        self._apply(path.name, Write(offset, data))

    def truncate(self, path: Path, length: int) -> None:
        self._call("truncate")
        self._apply(path.name, Write(length, None))

    def sync(self, path: Path) -> None:
        self.syncs += 1
        try:
            self._call("sync")
        except OSError:
            if self.failed_sync == LANDS:
                self._cover(path.name)
            elif self.failed_sync == DROPS:
                self.pending.pop(path.name, None)
            raise
        self._cover(path.name)

    def _cover(self, name: str) -> None:
        durable = self.durable.get(name, b"")
        for write in self.pending.pop(name, []):
            durable = write.onto(durable, ALL)
        self.durable[name] = durable

    def sync_folder(self, folder: Path) -> None:
        self._call("sync_folder")
        self.linked |= self.visible.keys()

    def after_loss(self, cuts: Sequence[str]) -> Disk:
        """Returns the disk after a loss of power that left these parts of the pending writes."""
        left = dict(self.durable)
        writes = ((name, write) for name, writes in sorted(self.pending.items()) for write in writes)
        for (name, write), cut in zip(writes, cuts, strict=True):
            if cut != NOTHING:
                left[name] = write.onto(left.get(name, b""), cut)
        if self.strict:
            left = {name: data for name, data in left.items() if name in self.linked}
        return Disk(dict(left), dict(left), strict=self.strict, linked=set(left))

    def writes(self) -> list[Write]:
        """Returns the writes that no sync has covered, file by file."""
        return [write for _, writes in sorted(self.pending.items()) for write in writes]

    def all_losses(self) -> Iterator[Disk]:
        """Yields every disk that a loss of power may leave now."""
        for cuts in itertools.product(*(write.cuts() for write in self.writes())):
            yield self.after_loss(cuts)

    def random_loss(self, rng: random.Random) -> Disk:
        """Returns a random disk that a loss of power may leave now; sometimes all pending writes are lost."""
        writes = self.writes()
        if rng.random() < 0.2:
            return self.after_loss([NOTHING] * len(writes))
        return self.after_loss([rng.choice(write.cuts()) for write in writes])

    def after_kill(self) -> Disk:
        """Returns the disk as the next process finds it while the machine stays powered."""
        pending = {name: list(writes) for name, writes in self.pending.items()}
        return Disk(
            dict(self.visible), dict(self.durable), pending, strict=self.strict, linked=set(self.linked)
        )


Content = tuple[bytes | None, tuple[bytes, ...]]
Step = tuple[bytes, ...] | bytes  # Records appended together, or a state for a checkpoint.
EMPTY: Content = (None, ())


def after(kept: Content, step: Step) -> list[Content]:
    """Returns the possible contents after a step, the complete one last."""
    if isinstance(step, bytes):
        return [(step, ())]
    return [(kept[0], kept[1] + step[:count]) for count in range(1, len(step) + 1)]


class Run:
    """A store on a disk, what it has acknowledged, and what else may be found there."""

    def __init__(self, disk: Disk, expected: Sequence[Content] = (EMPTY,)) -> None:
        self.disk, self.store = disk, Store.open(FOLDER, disk)
        self.possible = list(expected)
        self.kept: Content = expected[0]

    def load(self) -> Loaded:
        loaded = self.store.load()
        found = (loaded.state, loaded.records)
        assert found in self.possible
        self.kept = found
        if loaded.synced:
            self.possible = [found]
        return loaded

    def do(self, step: Step) -> None:
        """Runs a step; an error leaves the previous content and possibly the failed data."""
        self.possible += after(self.kept, step)
        if isinstance(step, bytes):
            self.store.checkpoint(step)
        else:
            self.store.append_all(step)
        self.kept = after(self.kept, step)[-1]
        self.possible = [self.kept]


STEPS: list[Step] = [
    (b"a1",),
    (b"a2", b"", b"a3"),
    b"state one, long enough to be torn",
    (b"b1",),
    (b"b2",),
    b"two",
    b"",
    (b"c1", b"c2"),
    b"state four, which is the longest one of them all" * 3,
    (b"d1",),
]
LATER: list[Step] = [(b"later 1",), b"a later state", (b"later 2",), b"the last", (b"later 3", b"later 4")]


def run_until(stop_at: int | None, steps: Sequence[Step] = STEPS, disk: Disk | None = None) -> Run:
    disk = disk or Disk()
    disk.stop_at = stop_at
    run = Run(disk)
    try:
        run.load()
        for step in steps:
            run.do(step)
    except ProcessEnded:
        pass
    disk.stop_at = None
    return run


CALLS = run_until(None).disk.calls


def check_recovers(disk: Disk, possible: Sequence[Content], steps: Sequence[Step] = LATER) -> None:
    """Checks that a disk holds one of `possible`, accepts later steps and survives a loss of power."""
    run = Run(disk, possible)
    assert run.load().synced
    for step in steps:
        run.do(step)
        Run(run.disk.after_loss([NOTHING] * len(run.disk.writes())), run.possible).load()


def test_what_was_done_is_found_by_the_next_process() -> None:
    run = run_until(None)
    assert run.kept == (STEPS[-2], (b"d1",))
    loaded = Store.open(FOLDER, run.disk.after_kill()).load()
    assert (loaded.generation, loaded.state, loaded.records) == (4, STEPS[-2], (b"d1",))
    assert loaded.synced and not loaded.is_fresh
    assert run.disk.pending == {}


def test_a_fresh_disk_says_so() -> None:
    loaded = Store.open(FOLDER, Disk()).load()
    assert loaded == Loaded(0, None, (), True)
    assert loaded.is_fresh


@pytest.mark.parametrize("steps", [[(b"a",)], [b""], [b"s"], [b"s", (b"a",)]])
def test_a_disk_with_anything_kept_is_not_fresh(steps: list[Step]) -> None:
    run = run_until(None, steps)
    assert not Store.open(FOLDER, run.disk.after_kill()).load().is_fresh


def test_the_rules_of_the_disk_are_played() -> None:
    disk = Disk()
    disk.write(FOLDER / "f", 0, b"old.")
    disk.sync(FOLDER / "f")
    disk.write(FOLDER / "f", 2, b"news")
    disk.truncate(FOLDER / "f", 3)
    disk.write(FOLDER / "new", 0, b"x")
    left = {tuple(sorted(after.visible.items())) for after in disk.all_losses()}
    contents = {dict(files)["f"] for files in left}
    assert contents == {b"old.", b"olnews", b"olne", b"old.ws", b"old", b"oln"}
    assert {dict(files).get("new") for files in left} == {None, b"x"}
    assert disk.after_kill().visible == {"f": b"oln", "new": b"x"}


@pytest.mark.parametrize("stop_at", range(CALLS + 1))
@pytest.mark.parametrize("strict", [False, True])
def test_a_loss_of_power_anywhere_keeps_what_was_acknowledged(stop_at: int, strict: bool) -> None:
    run = run_until(stop_at, disk=Disk(strict=strict))
    for disk in run.disk.all_losses():
        check_recovers(disk, run.possible)


class LogReusedTooEarly(Store):
    """A planted defect: the next generation's log is started before its slot is synced."""

    def _write_slot(self, path: Path, generation: int, state: bytes) -> None:
        frame, _ = frame_of(b"", generation, 0, CHAIN)
        self._write_log(self._logs[generation % 2], 0, frame, truncate=True)
        super()._write_slot(path, generation, state)


@pytest.mark.parametrize("kind", [LogReusedTooEarly, Store])
def test_a_log_that_is_reused_before_the_slots_sync_is_caught(kind: type[Store]) -> None:
    """A loss of power then leaves a log that refers to a torn slot, and nothing can be read."""
    broken = set()
    for stop_at in range(2 * CALLS):
        run = Run(Disk(stop_at=stop_at))
        run.store = kind.open(FOLDER, run.disk)
        with contextlib.suppress(ProcessEnded):
            run.load()
            for step in STEPS:
                run.do(step)
        for disk in run.disk.all_losses():
            try:
                Run(disk, run.possible).load()
            except DiskError as error:
                broken.add(str(error).split(";")[0])
    assert bool(broken) == (kind is LogReusedTooEarly)
    assert all("is damaged: generation" in what for what in broken)


@pytest.mark.parametrize("stop_at", range(CALLS + 1))
def test_a_kill_anywhere_keeps_what_was_acknowledged(stop_at: int) -> None:
    run = run_until(stop_at)
    check_recovers(run.disk.after_kill(), run.possible)


@pytest.mark.parametrize("stop_at", range(CALLS + 1))
@pytest.mark.parametrize("first", ["kill", "loss"])
def test_a_loss_of_power_after_a_kill_or_another_loss(stop_at: int, first: str) -> None:
    run = run_until(stop_at)
    disks = [run.disk.after_kill()] if first == "kill" else list(run.disk.all_losses())
    for start in disks:
        for second in itertools.count():
            again = Run(start.after_kill(), run.possible)
            again.disk.stop_at = second
            try:
                again.load()
                for step in LATER[:2]:
                    again.do(step)
                ended = True
            except ProcessEnded:
                ended = False
            for disk in again.disk.all_losses():
                check_recovers(disk, again.possible, LATER[2:3])
            if ended:
                break


@pytest.mark.parametrize("first", range(CALLS))
@pytest.mark.parametrize("count", [1, 2, 3, 7])
@pytest.mark.parametrize("torn", [NOTHING, HEAD, ALL])
@pytest.mark.parametrize("failed_sync", [STAYS, LANDS, DROPS])
def test_a_disk_that_refuses_calls_for_a_while(first: int, count: int, torn: str, failed_sync: str) -> None:
    disk = Disk(failing=fail_at(first, count, errno.ENOSPC), torn_on_failure=torn, failed_sync=failed_sync)
    run = Run(disk)
    refused = 0
    steps: list[Step] = [*STEPS, *LATER]
    steps += [(b"at the end %d" % number,) for number in range(count)]
    for step in steps:
        try:
            run.do(step)
        except DiskError as error:
            assert "ENOSPC" in str(error) and error.remedy.startswith("free space")
            refused += 1
        for left in run.disk.all_losses():
            assert_holds(left, run.possible)
        assert_holds(run.disk.after_kill(), run.possible)
    assert 1 <= refused <= count or first < 3  # The first calls belong to the load.
    assert run.possible == [run.kept]
    check_recovers(run.disk.after_kill(), run.possible)


def assert_holds(disk: Disk, possible: Sequence[Content]) -> None:
    loaded = Store.open(FOLDER, disk).load()
    assert (loaded.state, loaded.records) in possible


def test_a_failed_record_does_not_hide_later_ones_nor_come_back() -> None:
    disk = Disk()
    run = Run(disk)
    run.do((b"one",))
    disk.failing, disk.torn_on_failure = fail_at(disk.calls, 1, errno.ENOSPC), HEAD
    with pytest.raises(DiskError):
        run.do((b"two, which is torn",))
    run.do((b"3",))
    loaded = Store.open(FOLDER, disk.after_kill()).load()
    assert loaded.records == (b"one", b"3")


def test_a_failed_sync_of_records_doesn_t_bring_any_of_them_back_behind_the_same_record() -> None:
    disk = Disk()
    run = Run(disk)
    run.do((b"one",))
    disk.failing = fail_kinds(["sync"], code=errno.EIO)
    with pytest.raises(DiskError, match="EIO"):
        run.do((b"two", b"three"))
    disk.failing = never
    run.do((b"two",))
    assert Store.open(FOLDER, disk.after_kill()).load().records == (b"one", b"two")
    run.do((b"four",))
    assert Store.open(FOLDER, disk.after_kill()).load().records == (b"one", b"two", b"four")


def test_a_record_behind_a_torn_one_doesn_t_come_back_behind_the_same_record() -> None:
    intact = run_until(None, [(b"one", b"two", b"three")]).disk.visible["log.0"]
    at = intact.index(b"two")
    torn = intact[:at] + b"???" + intact[at + 3 :]
    run = Run(Disk({"log.0": torn}, {"log.0": torn}), [(None, (b"one",))])
    run.load()
    run.do((b"two",))
    assert Store.open(FOLDER, run.disk.after_kill()).load().records == (b"one", b"two")


def test_a_checkpoint_found_before_its_log_was_begun_is_never_lost_again() -> None:
    slot = run_until(None, [b"one"]).disk.visible["slot.1"]
    disk = Disk({"slot.1": slot}, {"slot.1": slot})
    assert Store.open(FOLDER, disk).load() == Loaded(1, b"one", (), True)
    expect_damaged(damaged(disk, slot_1=slot[:-1]))


@pytest.mark.parametrize(("generation", "number"), [(4, 1), (3, 1), (1, 1), (2, 2), (2, 0)])
def test_a_frame_of_another_generation_or_place_ends_the_log(generation: int, number: int) -> None:
    disk = run_until(None, [b"one", b"two"]).disk
    begun, chain = frame_of(b"", 2, 0, CHAIN)
    assert disk.visible["log.0"] == begun
    for at, records in ((2, (b"fits",)), (generation, ())):
        frame, _ = frame_of(b"fits", at, 1 if records else number, chain)
        loaded = Store.open(FOLDER, damaged(disk, log_0=begun + frame)).load()
        assert (loaded.state, loaded.records) == (b"two", records)


def test_a_log_in_the_other_place_doesn_t_count() -> None:
    disk = run_until(None, [b"one"]).disk
    frame, _ = frame_of(b"", 2, 0, CHAIN)
    assert Store.open(FOLDER, damaged(disk, log_1=frame)).load().state == b"one"
    expect_damaged(damaged(disk, log_0=frame))


def test_a_failed_checkpoint_that_reached_the_disk_does_not_hide_later_records() -> None:
    disk = Disk()
    run = Run(disk)
    run.do(b"old")
    run.do((b"one",))
    disk.failing, disk.failed_sync = fail_kinds(["sync"], code=errno.EIO), LANDS
    with pytest.raises(DiskError):
        run.do(b"new")
    disk.failing = never
    # Until a call succeeds, the failed state may be found.
    assert Store.open(FOLDER, disk.after_kill()).load().state == b"new"
    run.do((b"two",))
    loaded = Store.open(FOLDER, disk.after_kill()).load()
    assert (loaded.state, loaded.records) == (b"old", (b"one", b"two"))


def test_a_full_disk_refuses_until_it_has_room_again() -> None:
    disk = Disk()
    run = Run(disk)
    run.do(b"state")
    run.do((b"kept",))
    disk.failing = fail_kinds(["write", "truncate"])
    for _ in range(3):
        with pytest.raises(DiskError, match="ENOSPC"):
            run.do((b"more",))
        with pytest.raises(DiskError, match="ENOSPC"):
            run.do(b"another state")
    loaded = Store.open(FOLDER, disk.after_kill()).load()
    assert (loaded.state, loaded.records) == (b"state", (b"kept",))
    disk.failing = never
    run.do((b"again",))
    check_recovers(disk.after_kill(), [(b"state", (b"kept", b"again"))])


def test_a_disk_that_refuses_syncs_is_read_and_says_that_it_isn_t_synced() -> None:
    run = run_until(CALLS - 1)
    disk = run.disk.after_kill()
    disk.failing = fail_kinds(["sync"], code=errno.EIO)
    store = Store.open(FOLDER, disk)
    loaded = store.load()
    assert (loaded.state, loaded.records) in run.possible
    assert not loaded.synced
    with pytest.raises(DiskError):
        store.sync()
    disk.failing = never
    store.sync()
    assert_holds(disk.after_loss([]), [(loaded.state, loaded.records)])
    calls = disk.calls
    store.sync()
    assert disk.calls == calls


def test_a_folder_that_can_t_be_read_is_an_error() -> None:
    with pytest.raises(DiskError, match="ENOENT"):
        Store.open(FOLDER, Disk(failing=fail_at(0, 1, errno.ENOENT))).load()


KINDS = [("write",), ("sync",), ("truncate",), ("write", "sync", "truncate", "sync_folder")]


@pytest.mark.parametrize("seed", range(400))
def test_luck(seed: int) -> None:
    """Long random runs of kills, losses of power, failures and full disks together."""
    rng = random.Random(seed)
    run = Run(Disk())
    loaded = False
    for number in range(60):
        disk = run.disk
        draw = rng.random()
        failing = rng.random() < 0.3
        kinds = rng.choice(KINDS)
        disk.failing = fail_kinds(kinds, disk.calls + rng.randrange(6)) if failing else never
        disk.torn_on_failure = rng.choice([NOTHING, HEAD, ALL])
        disk.failed_sync = rng.choice([STAYS, LANDS])
        disk.stop_at = disk.calls + rng.randrange(8) if draw < 0.4 else None
        word = b"same" if seed % 2 else b"%d" % number
        records = tuple(word * rng.randrange(3) for _ in range(rng.randint(1, 3)))
        step: Step = records if rng.random() < 0.7 else b"state %d " % number * rng.randrange(9)
        try:
            if not loaded:
                loaded = run.load() is not None
            run.do(step)
        except DiskError:
            continue
        except ProcessEnded:
            left = disk.after_kill() if rng.random() < 0.4 else disk.random_loss(rng)
            run, loaded = Run(left, [run.kept, *run.possible]), False
    check_recovers(run.disk.after_kill(), run.possible)


# --- damage


def damaged(disk: Disk, **files: bytes | None) -> Disk:
    visible = dict(disk.visible)
    for name, data in files.items():
        if data is None:
            visible.pop(name.replace("_", "."))
        else:
            visible[name.replace("_", ".")] = data
    return Disk(dict(visible), dict(visible))


def flipped(data: bytes, at: int) -> bytes:
    return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]


def expect_damaged(disk: Disk) -> str:
    with pytest.raises(DiskError) as refused:
        Store.open(FOLDER, disk).load()
    assert refused.value.remedy.startswith("empty the folder and restart the process")
    return refused.value.problem


@pytest.mark.parametrize("steps", [[b"one"], [b"one", (b"a",)], [(b"a",), b"one"]])
def test_a_first_slot_that_was_acknowledged_and_is_damaged_is_never_an_empty_disk(steps: list[Step]) -> None:
    disk = run_until(None, steps).disk
    slot = disk.visible["slot.1"]
    for at in range(len(slot)):
        expect_damaged(damaged(disk, slot_1=flipped(slot, at)))
    for length in range(len(slot)):
        expect_damaged(damaged(disk, slot_1=slot[:length]))
    expect_damaged(damaged(disk, slot_1=None))


def test_a_first_slot_torn_before_its_checkpoint_returned_is_an_empty_disk() -> None:
    intact = run_until(None, [b"one"]).disk.visible["slot.1"]
    for length in range(len(intact)):
        loaded = Store.open(FOLDER, Disk({"slot.1": intact[:length]}, {"slot.1": intact[:length]})).load()
        assert loaded.is_fresh
        check_recovers(Disk({"slot.1": intact[:length]}, {"slot.1": intact[:length]}), [EMPTY])


def test_records_before_a_first_slot_that_is_torn_are_kept() -> None:
    disk = run_until(None, [(b"a", b"b")]).disk
    check_recovers(damaged(disk, slot_1=b"torn"), [(None, (b"a", b"b"))])


def test_damage_in_the_newest_slot_never_gives_the_one_before() -> None:
    disk = run_until(None, [b"one", (b"a",), b"two"]).disk
    slot = disk.visible["slot.0"]
    for at in range(len(slot)):
        assert "generation 2 was completed, but the newest intact slot is 1" in expect_damaged(
            damaged(disk, slot_0=flipped(slot, at))
        )
    expect_damaged(damaged(disk, slot_0=None))


def test_damage_in_both_slots_is_never_an_empty_disk() -> None:
    disk = run_until(None, [b"one", b"two", b"three"]).disk
    expect_damaged(damaged(disk, slot_0=b"x", slot_1=b"x"))
    expect_damaged(damaged(disk, slot_0=b"x", slot_1=b"x", log_0=None, log_1=None))
    expect_damaged(damaged(disk, slot_0=None, slot_1=None))
    expect_damaged(damaged(disk, slot_0=b"x", slot_1=None, log_0=b"", log_1=b""))


def test_damage_in_the_older_slot_costs_nothing() -> None:
    disk = run_until(None, [b"one", b"two", (b"a",)]).disk
    check_recovers(damaged(disk, slot_1=b"x"), [(b"two", (b"a",))])


def test_a_log_ends_at_the_first_damaged_byte() -> None:
    disk = run_until(None, [b"one", (b"a",), (b"b",), (b"c",)]).disk
    log = disk.visible["log.1"]
    found = []
    for at in range(len(log)):
        loaded = Store.open(FOLDER, damaged(disk, log_1=flipped(log, at))).load()
        found.append(len(loaded.records))
    frame = len(log) // 4 + 1
    assert found == [0] * (len(log) - 2 * frame) + [1] * frame + [2] * frame


def test_slots_and_logs_of_the_other_place_don_t_count() -> None:
    disk = run_until(None, [b"one", (b"a",)]).disk
    expect_damaged(damaged(disk, slot_0=disk.visible["slot.1"], slot_1=None))
    moved = damaged(disk, log_0=disk.visible["log.1"], log_1=None)
    assert Store.open(FOLDER, moved).load().records == ()


def test_other_files_of_the_folder_are_left_alone() -> None:
    disk = Disk({"lost+found": b"?"}, {"lost+found": b"?"})
    check_recovers(disk, [EMPTY])
    assert disk.visible["lost+found"] == b"?"


def test_the_bytes_on_disk() -> None:
    """The file format; a different format needs a different magic number."""
    disk = run_until(None, [b"old", b"state", (b"r1", b"")]).disk
    assert {name: data.hex() for name, data in sorted(disk.visible.items())} == {
        "slot.1": "6267733101000000000000000300000000000000a1be83fd" + b"old".hex(),
        "log.1": "0000000001000000000000000000000000000000d8fca6ec",
        "slot.0": "62677331020000000000000005000000000000005c4f1a41" + b"state".hex(),
        "log.0": "00000000"
        "0200000000000000"
        "0000000000000000"
        "2a486ec5"
        "02000000"
        "0200000000000000"
        "0100000000000000"
        "ef584831" + b"r1".hex() + "00000000"
        "0200000000000000"
        "0200000000000000"
        "8c0d59b6",
    }


# --- size and cost


def test_the_files_stay_as_small_as_the_state_and_the_log() -> None:
    disk = Disk()
    run = Run(disk)
    for number in range(200):
        run.do((b"r" * 100,))
        if run.store.log_bytes > 1000:
            run.do(b"s" * (number + 1))
    assert run.store.generation >= 20
    assert run.store.log_bytes <= 1200
    assert sum(map(len, disk.visible.values())) < 3000


def test_log_bytes_is_the_length_of_the_log() -> None:
    disk = Disk()
    store = Store.open(FOLDER, disk)
    assert store.log_bytes == 0
    store.append(b"one")
    assert store.log_bytes == len(disk.visible["log.0"])
    store.checkpoint(b"state")
    store.append(b"two")
    assert store.log_bytes == len(disk.visible["log.1"])
    store.checkpoint(b"state")
    store.checkpoint(b"state")
    assert store.log_bytes == len(disk.visible["log.1"])
    store.append(b"three")
    again = Store.open(FOLDER, disk.after_kill())
    again.load()
    assert again.log_bytes == store.log_bytes


def test_an_append_costs_one_write_and_one_sync() -> None:
    run = run_until(None, [b"one", (b"a",), b"two", (b"a",), b"three"])
    before = run.disk.calls
    run.do((b"b", b"c", b"d"))
    assert run.disk.calls == before + 2


def test_what_a_failed_append_left_costs_nothing_after_the_next_checkpoint() -> None:
    run = run_until(None, [b"one", (b"a",), b"two"])
    run.disk.failing = fail_at(run.disk.calls, 1, errno.ENOSPC)
    with pytest.raises(DiskError):
        run.do((b"b",))
    run.do(b"three")
    before = run.disk.calls
    run.do((b"c",))
    assert run.disk.calls == before + 2


def test_a_checkpoint_costs_two_syncs() -> None:
    run = run_until(None, [b"one", b"two"])
    syncs = run.disk.syncs
    run.do(b"three")
    assert run.disk.syncs == syncs + 2


def test_a_record_that_is_too_long_is_refused_before_anything_is_written() -> None:
    disk = Disk()
    store = Store.open(FOLDER, disk)
    with pytest.raises(ValueError, match="make a checkpoint"):
        store.append(bytes(MAX_RECORD_BYTES + 1))
    assert disk.visible == {}
    store.append(b"a")
    assert Store.open(FOLDER, disk.after_kill()).load().records == (b"a",)


# --- the operating system's files


def test_files_of_the_operating_system(tmp_path: Path) -> None:
    files = OsFiles()
    store = Store.open(tmp_path, files)
    assert store.load().is_fresh
    store.append(b"zero")
    store.checkpoint(b"s" * 100_000)
    store.append_all([b"one", b"two"])
    again = Store.open(tmp_path, OsFiles()).load()
    assert (again.state, again.records, again.synced) == (b"s" * 100_000, (b"one", b"two"), True)
    store.checkpoint(b"")
    files.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["log.0", "log.1", "slot.0", "slot.1"]
    with pytest.raises(DiskError, match="set data_dir to an existing folder"):
        Store.open(tmp_path / "none", files).load()


def test_a_short_write_is_gone_on_with(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda fd, data, offset: real(fd, bytes(data[:7]), offset))
    Store.open(tmp_path, OsFiles()).checkpoint(b"state" * 100)
    assert Store.open(tmp_path, OsFiles()).load().state == b"state" * 100


# --- the queue


@dataclass
class BlockingDisk(Files):
    """A disk that blocks before each file sync until the test lets it continue."""

    disk: Disk
    arrived: threading.Semaphore = field(default_factory=lambda: threading.Semaphore(0))
    released: threading.Semaphore = field(default_factory=lambda: threading.Semaphore(0))
    threads: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.is_blocking = False

    def names(self, folder: Path) -> list[str]:
        self.threads.add(threading.current_thread().name)
        return self.disk.names(folder)

    def read(self, path: Path) -> bytes:
        return self.disk.read(path)

    def write(self, path: Path, offset: int, data: bytes) -> None:
        self.threads.add(threading.current_thread().name)
        self.disk.write(path, offset, data)

    def truncate(self, path: Path, length: int) -> None:
        self.disk.truncate(path, length)

    def sync(self, path: Path) -> None:
        self.threads.add(threading.current_thread().name)
        if self.is_blocking:
            self.arrived.release()
            assert self.released.acquire(timeout=TIMEOUT_S)
        self.disk.sync(path)

    def sync_folder(self, folder: Path) -> None:
        self.disk.sync_folder(folder)

    async def wait_until_blocked(self) -> None:
        """Returns once a sync is blocked."""
        assert await asyncio.to_thread(self.arrived.acquire, timeout=TIMEOUT_S)


def play(main: Callable[[], Coroutine[None, None, None]]) -> None:
    """Runs a test in an event loop, with a time limit."""
    asyncio.run(asyncio.wait_for(main(), 2 * TIMEOUT_S))


def stored_on(disk: Disk) -> Content:
    loaded = Store.open(FOLDER, disk.after_kill()).load()
    return loaded.state, loaded.records


async def outcomes(*waiting: asyncio.Future[None]) -> list[str]:
    found = await asyncio.gather(*waiting, return_exceptions=True)
    return ["kept" if error is None else str(error) for error in found]


OVERTAKEN = "a command queued earlier failed; retry it on top of the stored state"
FULL_LOG = "cannot write /data/log.0 (ENOSPC); free space on the disk; the next call retries"


def test_commands_run_in_their_order() -> None:
    async def main() -> None:
        disk = Disk()
        queue = DiskQueue(Store.open(FOLDER, disk))
        loaded = queue.load()
        queued = [queue.append(b"a"), queue.append(b"b"), queue.checkpoint(b"s"), queue.append(b"c")]
        assert queue.waiting == 5
        assert (await loaded).is_fresh
        assert await outcomes(*queued) == ["kept"] * 4
        assert queue.waiting == 0
        assert queue.log_bytes == len(disk.visible["log.1"])
        assert stored_on(disk) == (b"s", (b"c",))
        await queue.close()

    play(main)


def test_appends_that_wait_share_one_sync_and_the_loop_never_waits_for_the_disk() -> None:
    async def main() -> None:
        blocking = BlockingDisk(Disk())
        queue = DiskQueue(Store.open(FOLDER, blocking), name="disk thread")
        await queue.load()
        await queue.append(b"0")
        syncs = blocking.disk.syncs
        blocking.is_blocking = True
        first = queue.append(b"1")
        await blocking.wait_until_blocked()  # The disk blocks during the first append.
        rest = [queue.append(b"%d" % number) for number in range(2, 50)]
        assert queue.waiting == 49
        assert not first.done()
        blocking.released.release()
        await first
        await blocking.wait_until_blocked()
        assert not any(done.done() for done in rest)
        blocking.released.release()
        assert await outcomes(*rest) == ["kept"] * 48
        assert blocking.disk.syncs == syncs + 2
        assert stored_on(blocking.disk) == (None, tuple(b"%d" % number for number in range(50)))
        await queue.close()
        assert blocking.threads == {"disk thread"}

    play(main)


def test_a_checkpoint_parts_the_groups() -> None:
    async def main() -> None:
        blocking = BlockingDisk(Disk())
        queue = DiskQueue(Store.open(FOLDER, blocking))
        await queue.append(b"0")
        blocking.is_blocking = True
        first = queue.append(b"1")
        await blocking.wait_until_blocked()
        rest = [queue.append(b"2"), queue.append(b"3"), queue.checkpoint(b"s"), queue.append(b"4")]
        rest += [queue.append(b"5"), queue.checkpoint(b"t"), queue.checkpoint(b"u"), queue.append(b"6")]
        blocking.is_blocking = False
        blocking.released.release()
        assert await outcomes(first, *rest) == ["kept"] * 9
        assert stored_on(blocking.disk) == (b"u", (b"6",))
        await queue.close()

    play(main)


def test_a_group_is_bounded() -> None:
    async def main() -> None:
        blocking = BlockingDisk(Disk())
        queue = DiskQueue(Store.open(FOLDER, blocking))
        await queue.append(b"0")
        blocking.is_blocking = True
        first = queue.append(b"1")
        await blocking.wait_until_blocked()
        syncs = blocking.disk.syncs
        rest = [queue.append(bytes(MAX_GROUP_BYTES // 2)) for _ in range(6)]
        blocking.is_blocking = False
        blocking.released.release()
        assert await outcomes(first, *rest) == ["kept"] * 7
        # One for the first append, and one for each group of two records.
        assert blocking.disk.syncs == syncs + 4
        await queue.close()

    play(main)


def test_what_was_given_before_a_failure_was_known_fails_too() -> None:
    async def main() -> None:
        blocking = BlockingDisk(Disk())
        queue = DiskQueue(Store.open(FOLDER, blocking))
        await queue.append(b"0")
        blocking.is_blocking = True
        # The sync of the next append.
        blocking.disk.failing = fail_at(blocking.disk.calls + 1, 1, errno.ENOSPC)
        first = queue.append(b"1")
        await blocking.wait_until_blocked()
        rest = [queue.append(b"2"), queue.checkpoint(b"s"), queue.append(b"3")]
        blocking.is_blocking = False
        blocking.released.release()
        assert await outcomes(first, *rest) == [FULL_LOG, OVERTAKEN, OVERTAKEN, OVERTAKEN]
        assert await outcomes(queue.append(b"4")) == ["kept"]
        assert stored_on(blocking.disk) == (None, (b"0", b"4"))
        await queue.close()

    play(main)


def test_a_failed_group_fails_whole_and_the_next_append_works() -> None:
    async def main() -> None:
        disk = Disk()
        queue = DiskQueue(Store.open(FOLDER, disk))
        await queue.append(b"0")
        disk.failing = fail_kinds(["write"])
        for _ in range(3):
            assert set(await outcomes(queue.append(b"1"), queue.append(b"2"))) <= {FULL_LOG, OVERTAKEN}
            assert "ENOSPC" in (await outcomes(queue.checkpoint(b"s")))[0]
        disk.failing = never
        assert await outcomes(queue.append(b"3"), queue.append(b"4")) == ["kept", "kept"]
        assert stored_on(disk) == (None, (b"0", b"3", b"4"))
        await queue.close()

    play(main)


def test_a_load_that_fails_says_why_and_may_be_tried_again() -> None:
    async def main() -> None:
        disk = Disk(failing=fail_at(0, 1, errno.EACCES))
        queue = DiskQueue(Store.open(FOLDER, disk))
        with pytest.raises(DiskError, match="EACCES"):
            await queue.load()
        assert (await queue.load()).is_fresh
        await queue.close()

    play(main)


def test_whoever_waits_may_be_cancelled() -> None:
    async def main() -> None:
        blocking = BlockingDisk(Disk())
        queue = DiskQueue(Store.open(FOLDER, blocking))
        await queue.append(b"0")
        blocking.is_blocking = True
        first = queue.append(b"1")
        await blocking.wait_until_blocked()
        second, third = queue.append(b"2"), queue.append(b"3")
        first.cancel()
        second.cancel()
        blocking.is_blocking = False
        blocking.released.release()
        await third
        assert stored_on(blocking.disk) == (None, (b"0", b"1", b"2", b"3"))
        assert queue.waiting == 0
        await queue.close()

    play(main)


def test_a_closed_queue_has_done_all_and_takes_no_more() -> None:
    async def main() -> None:
        disk = Disk()
        queue = DiskQueue(Store.open(FOLDER, disk))
        queued = [queue.append(b"a"), queue.append(b"b")]
        await queue.close()
        assert all(done.done() for done in queued)
        assert stored_on(disk) == (None, (b"a", b"b"))
        with pytest.raises(DiskError, match="queue no command after close"):
            queue.append(b"c")
        await queue.close()

    play(main)


def test_a_record_that_is_too_long_fails_alone() -> None:
    async def main() -> None:
        disk = Disk()
        queue = DiskQueue(Store.open(FOLDER, disk))
        queued = queue.append(b"a")
        with pytest.raises(ValueError, match="make a checkpoint"):
            queue.append(bytes(MAX_RECORD_BYTES + 1))
        await queued
        await queue.append(b"b")
        assert stored_on(disk) == (None, (b"a", b"b"))
        await queue.close()

    play(main)


def test_the_thread_ends_where_its_loop_is_gone() -> None:
    blocking = BlockingDisk(Disk())

    async def main() -> DiskQueue:
        queue = DiskQueue(Store.open(FOLDER, blocking), name="orphaned disk thread")
        await queue.append(b"0")
        blocking.is_blocking = True
        queue.append(b"1")
        return queue

    asyncio.run(main())
    assert blocking.arrived.acquire(timeout=TIMEOUT_S)
    thread = next(thread for thread in threading.enumerate() if thread.name == "orphaned disk thread")
    assert thread.daemon
    blocking.is_blocking = False
    blocking.released.release()
    thread.join(TIMEOUT_S)  # Nothing waits for the thread any more.
    assert not thread.is_alive()
    assert stored_on(blocking.disk) == (None, (b"0", b"1"))
