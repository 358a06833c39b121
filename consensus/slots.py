"""What a control process keeps on its disk: two slots written in turn, a short log between.

Files of the folder, by parity of the generation they hold: `slot.0`, `slot.1` (one whole state each) and
`log.0`, `log.1` (the records appended after that state). Generation 0 has no slot: it is the empty state of
a fresh disk. A checkpoint writes the state of generation n + 1 into the slot that generation n doesn't use,
syncs it, and only then begins the log of n + 1; until the slot's sync has returned, slot n and log n are
untouched.

- A slot is a head (mark, generation, length, checksum) and the state; a torn one fails its checksum.
- A log is a row of frames (length, generation, sequence number, checksum, record). The checksum of a frame
  goes on from that of the frame before it, so that what a failed or older write left behind never fits
  behind a frame written later. Frame 0 is empty; it says that the generation's checkpoint was completed.

**Empty or damaged?** A checkpoint returns only after frame 0 of its log was synced, and begins only once
frame 0 of the generation before is on disk, so from the first completed checkpoint on, some log names the
newest completed generation. Loading takes the newest whole slot. If a log names a newer generation, or
`slot.0` holds bytes and no slot is whole (generation 2 is begun only when 1 is complete), then a slot that
was acknowledged is unreadable: DiskError, never an older or an empty state. A damaged `slot.1` alone, with
no log naming generation 1, is the first checkpoint that never returned: nothing in it was acknowledged, and
the state is that of generation 0. A slot torn while an older one is whole is likewise a checkpoint that
never returned.

**After an error** the disk may hold what failed, or not. A failed append is cut off by the next one before
that returns; a failed checkpoint is taken back (its log and slot are emptied) before anything else is
written, since a slot that reached the disk after all would hide the records appended to the older log.
Until then a restart may find the failed record or state as the newest thing.

**After a restart** the files may hold what was written or cut off and not yet synced when the process
ended. `Store.load` syncs all of them before it says that what it read is kept (`Loaded.synced`).
"""

from __future__ import annotations

import errno
import struct
import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TypeVar

from config.errors import DiskError
from consensus.files import Files

_MAGIC = b"bgs1"
_SLOT = struct.Struct("<4sQQ")  # mark, generation, length of the state
_FRAME = struct.Struct("<IQQ")  # length of the record, generation, sequence number
_SUM = struct.Struct("<I")
_SLOT_HEAD = _SLOT.size + _SUM.size
_FRAME_HEAD = _FRAME.size + _SUM.size
_CHAIN = zlib.crc32(_MAGIC)
MAX_RECORD_BYTES = 16 * 2**20
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Loaded:
    """What the disk holds: the state (None before the first checkpoint) and the records appended after it.

    `synced`: whether a loss of power can't take it any more. Where it is False the disk refused the sync; the
    next append or checkpoint, or `Store.sync`, makes up for it, and until then nobody may be told it is kept.
    """

    generation: int
    state: bytes | None
    records: tuple[bytes, ...]
    synced: bool

    @property
    def is_fresh(self) -> bool:
        """Whether the disk holds nothing that was ever acknowledged: it is new or was wiped."""
        return self.state is None and not self.records


@dataclass(frozen=True, slots=True)
class _Slot:
    """A slot file: whether it holds bytes at all, and the state if it is whole."""

    present: bool
    generation: int = 0
    state: bytes | None = None


@dataclass(frozen=True, slots=True)
class _Log:
    """A log file's whole frames: generation (None without a frame 0), records, end, last checksum."""

    generation: int | None
    records: tuple[bytes, ...]
    end: int
    chain: int
    size: int


class Store:
    """The two slots and the logs of one folder; calls wait for the disk, all from one thread.

    Every call that can't do its work raises DiskError, which names the remedy and leaves the store usable:
    the next call tries again. Whoever gets one must take nothing of that call as kept.
    """

    def __init__(self, folder: Path, files: Files, prefix: str = "") -> None:
        """`prefix`: of the files' names, where several stores share a folder."""
        self._folder, self._files = folder, files
        self._slots = (folder / f"{prefix}slot.0", folder / f"{prefix}slot.1")
        self._logs = (folder / f"{prefix}log.0", folder / f"{prefix}log.1")
        self._linked: set[Path] = set()  # files whose names the folder's last sync covered
        self._loaded = False
        self._synced = False  # whether what was loaded is known to be on disk
        self._generation = 0
        self._sequence, self._chain, self._end = 0, _CHAIN, 0  # of the log's last kept frame
        self._log_is_clean = False  # whether the log ends where its last kept frame does
        self._failed_checkpoint = False  # whether the next generation may be on disk in part

    @classmethod
    def open(cls, folder: Path, files: Files, prefix: str = "") -> Store:
        """The store of an existing folder; nothing is read or written before `load`."""
        return cls(folder, files, prefix)

    @property
    def log_bytes(self) -> int:
        """How long the log is, in bytes; the caller makes a checkpoint when it is over its bound."""
        return self._end

    @property
    def generation(self) -> int:
        """How many checkpoints the state has been through; 0 before the first."""
        return self._generation

    # --- reading

    def load(self) -> Loaded:
        """What is kept; raises DiskError where the folder can't be read, or holds a state that is damaged."""
        self._loaded = False
        names = self._guard_read(partial(self._files.names, self._folder), self._folder)
        slots = [_read_slot(at, self._read(path, names)) for at, path in enumerate(self._slots)]
        logs = [_read_log(at, self._read(path, names)) for at, path in enumerate(self._logs)]
        newest = max(slots, key=lambda slot: slot.generation)
        self._check_intact(newest, slots, logs)
        generation = newest.generation
        log = logs[generation % 2]
        if log.generation != generation:
            log = _Log(None, (), 0, _CHAIN, log.size)
        self._generation = generation
        self._sequence, self._chain, self._end = len(log.records) + (log.end > 0), log.chain, log.end
        self._log_is_clean = log.size == log.end
        self._failed_checkpoint = any(slot.present and slot.state is None for slot in slots)
        self._linked.clear()
        self._loaded, self._synced = True, False
        try:
            self.sync()
        except DiskError:
            return Loaded(generation, newest.state, log.records, False)
        return Loaded(generation, newest.state, log.records, True)

    def _check_intact(self, newest: _Slot, slots: Sequence[_Slot], logs: Sequence[_Log]) -> None:
        completed = max(log.generation or 0 for log in logs)
        if completed <= newest.generation and (newest.state is not None or not slots[0].present):
            return
        raise DiskError(
            f"the state in {self._folder} is damaged: generation {max(completed, newest.generation + 1)} was"
            f" completed, and the newest whole slot is {newest.generation}",
            "empty the folder and start again, so that the state comes from the other machines",
        )

    def _read(self, path: Path, names: Sequence[str]) -> bytes:
        if path.name not in names:
            return b""
        return self._guard_read(partial(self._files.read, path), path)

    def _guard_read(self, call: Callable[[], _T], path: Path) -> _T:
        try:
            return call()
        except OSError as error:
            raise _disk_error(error, "read", path) from error

    # --- writing

    def append(self, record: bytes) -> None:
        """Adds a record to the log and syncs it; raises DiskError."""
        self.append_all((record,))

    def append_all(self, records: Iterable[bytes]) -> None:
        """Adds records in their order with one write and one sync: all are kept, or DiskError is raised.

        After a loss of power during the call, some of the first of them may be there.
        """
        self.sync()
        sequence, chain = self._sequence, self._chain
        frames = bytearray()
        for record in ([b""] if sequence == 0 else []) + list(records):
            frame, chain = _frame(record, self._generation, sequence, chain)
            frames += frame
            sequence += 1
        self._add_to_log(bytes(frames))
        self._sequence, self._chain = sequence, chain

    def checkpoint(self, state: bytes) -> None:
        """Makes `state` what is kept, in the place of the state and all records so far; raises DiskError.

        A crash leaves the state and records from before, or the new state. After a DiskError those from
        before are kept, and later records go on from them.
        """
        self.sync()
        generation = self._generation + 1
        slot, log = self._slots[generation % 2], self._logs[generation % 2]
        self._failed_checkpoint = True
        self._guard_write(partial(self._write_slot, slot, generation, state), slot)
        frame, chain = _frame(b"", generation, 0, _CHAIN)
        self._guard_write(partial(self._write_log, log, 0, frame, cut=True), log)
        self._failed_checkpoint, self._log_is_clean = False, True
        self._generation = generation
        self._sequence, self._chain, self._end = 1, chain, len(frame)

    def sync(self) -> None:
        """Brings the disk to what is kept, after a load or a failed checkpoint; raises DiskError.

        Costs nothing where that is done already.
        """
        if not self._loaded:
            self.load()
        if not self._synced:
            self._sync_loaded()
            self._synced = True
        if self._failed_checkpoint:
            self._undo_checkpoint()
            self._failed_checkpoint = False
        if self._generation > 0 and self._sequence == 0:
            frame, chain = _frame(b"", self._generation, 0, _CHAIN)
            self._add_to_log(frame)
            self._sequence, self._chain = 1, chain

    def _sync_loaded(self) -> None:
        """Makes last what an earlier process may have written or cut off without a sync, in whatever file."""
        names = self._guard_read(partial(self._files.names, self._folder), self._folder)
        present = [path for path in self._slots + self._logs if path.name in names]
        for path in present:
            self._guard_write(partial(self._files.sync, path), path)
        self._guard_write(partial(self._files.sync_folder, self._folder), self._folder)
        self._linked.update(present)

    def _undo_checkpoint(self) -> None:
        """Empties the next generation's log, then its slot: the log must not outlive what it vouches for."""
        at = (self._generation + 1) % 2
        for path in (self._logs[at], self._slots[at]):
            self._guard_write(partial(self._empty, path), path)

    def _empty(self, path: Path) -> None:
        self._files.truncate(path, 0)
        self._sync_file(path)

    def _write_slot(self, path: Path, generation: int, state: bytes) -> None:
        head = _SLOT.pack(_MAGIC, generation, len(state))
        self._files.write(path, 0, head + _SUM.pack(zlib.crc32(state, zlib.crc32(head))))
        if state:
            self._files.write(path, _SLOT_HEAD, state)
        self._sync_file(path)

    def _add_to_log(self, frames: bytes) -> None:
        """Writes behind the kept frames of the log; what a failed write left there is cut off first."""
        path, cut = self._logs[self._generation % 2], not self._log_is_clean
        self._log_is_clean = False
        self._guard_write(partial(self._write_log, path, self._end, frames, cut=cut), path)
        self._log_is_clean = True
        self._end += len(frames)

    def _write_log(self, path: Path, end: int, frames: bytes, cut: bool) -> None:
        if cut:
            self._files.truncate(path, end)
        self._files.write(path, end, frames)
        self._sync_file(path)

    def _sync_file(self, path: Path) -> None:
        """Syncs a file, and its folder if its name is new."""
        self._files.sync(path)
        if path not in self._linked:
            self._files.sync_folder(self._folder)
            self._linked.add(path)

    def _guard_write(self, call: Callable[[], None], path: Path) -> None:
        try:
            call()
        except OSError as error:
            raise _disk_error(error, "write", path) from error


def _frame(record: bytes, generation: int, sequence: int, chain: int) -> tuple[bytes, int]:
    """A record as it stands in the log, and the checksum that the next one goes on from."""
    if len(record) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(record)} bytes; make a checkpoint of what is so long")
    head = _FRAME.pack(len(record), generation, sequence)
    chain = zlib.crc32(record, zlib.crc32(head, chain))
    return head + _SUM.pack(chain) + record, chain


def _read_slot(at: int, data: bytes) -> _Slot:
    """The slot in a file's bytes; a generation that belongs into the other file doesn't count."""
    if len(data) >= _SLOT_HEAD:
        mark, generation, length = _SLOT.unpack_from(data)
        (checksum,) = _SUM.unpack_from(data, _SLOT.size)
        if mark == _MAGIC and generation > 0 and generation % 2 == at and length <= len(data) - _SLOT_HEAD:
            state = data[_SLOT_HEAD : _SLOT_HEAD + length]
            if zlib.crc32(state, zlib.crc32(data[: _SLOT.size])) == checksum:
                return _Slot(True, generation, state)
    return _Slot(bool(data))


def _read_log(at: int, data: bytes) -> _Log:
    """The frames of a file's bytes up to the first that is torn, or of another generation or place."""
    records: list[bytes] = []
    kept: int | None = None
    chain, end, sequence = _CHAIN, 0, 0
    while end + _FRAME_HEAD <= len(data):
        length, generation, number = _FRAME.unpack_from(data, end)
        (checksum,) = _SUM.unpack_from(data, end + _FRAME.size)
        start = end + _FRAME_HEAD
        if length > len(data) - start or number != sequence or generation % 2 != at:
            break
        if kept is not None and generation != kept:
            break
        record = data[start : start + length]
        found = zlib.crc32(record, zlib.crc32(data[end : end + _FRAME.size], chain))
        if found != checksum:
            break
        if sequence > 0:
            records.append(record)
        kept, chain, end, sequence = generation, found, start + length, sequence + 1
    return _Log(kept, tuple(records), end, chain, len(data))


def _disk_error(error: OSError, what: str, path: Path) -> DiskError:
    """A failed call as an error whose message names the remedy."""
    remedy = {
        errno.ENOSPC: "free space on the disk; the next call tries again",
        errno.EDQUOT: "free space on the disk; the next call tries again",
        errno.ENOENT: "let data_dir name a folder that is there",
        errno.EACCES: "let this process read and write the folder",
        errno.EROFS: "let this process read and write the folder",
    }.get(error.errno or 0, "check the disk; the next call tries again")
    name = errno.errorcode.get(error.errno or 0, "error")
    return DiskError(f"the disk refuses to {what} {path} ({name})", remedy)
