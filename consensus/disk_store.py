"""Crash-safe storage of the state of a control process: two slots written alternately, and a short log.

The folder holds four files. Each generation uses the pair that matches its parity: `slot.0` and `slot.1` hold
one complete state each, `log.0` and `log.1` the records appended after that state. Generation 0 has no slot;
it is the empty state of a new disk. A checkpoint writes the state of generation n + 1 to the slot that
generation n doesn't use, syncs it, and only then starts the log of n + 1. Until the sync of the slot has
returned, slot n and log n are untouched.

- A slot is a header (magic, generation, length, checksum) and the state. A torn slot fails its checksum.
- A log is a sequence of frames (length, generation, sequence number, checksum, record). The checksum of a
  frame continues that of the frame before it, so that remains of a failed or older write never follow a later
  frame. Frame 0 is empty and marks the checkpoint of the generation as complete.

**Empty or damaged?** A checkpoint returns only after frame 0 of its log has been synced, and starts only once
frame 0 of the previous generation is on disk. From the first completed checkpoint on, some log therefore
names the newest completed generation. Loading takes the newest intact slot. If a log names a newer
generation, or `slot.0` holds bytes while no slot is intact (generation 2 starts only after 1 is complete),
then an acknowledged slot is unreadable: this raises DiskError rather than returning an older or an empty
state. A damaged `slot.1` alone, with no log that names generation 1, is the first checkpoint before it
returned: nothing in it was acknowledged, and the state is that of generation 0. A torn slot beside an older
intact one is likewise a checkpoint that never returned.

**After an error** the disk may or may not hold the data of the failed call. The next append truncates a
failed append before it returns. A failed checkpoint is undone, by emptying its log and slot, before anything
else is written, because a slot that reached the disk after all would hide the records appended to the older
log. Until then a restart may find the failed record or state as the newest one.

**After a restart** the files may hold writes or truncations that were not synced when the process ended.
`Store.load` syncs all files before it reports their content as stored (`Loaded.synced`).
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
_SLOT = struct.Struct("<4sQQ")  # Magic, generation, length of the state.
_FRAME = struct.Struct("<IQQ")  # Length of the record, generation, sequence number.
_SUM = struct.Struct("<I")
_SLOT_HEAD = _SLOT.size + _SUM.size
_FRAME_HEAD = _FRAME.size + _SUM.size
_CHAIN = zlib.crc32(_MAGIC)
MAX_RECORD_BYTES = 16 * 2**20
_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Loaded:
    """The content of the disk: the state and the records appended after it.

    `state` is None before the first checkpoint. `synced`: whether the content would survive a loss of power.
    If it is False, the disk has refused the sync. The next append or checkpoint, or `Store.sync`, repeats the
    sync; until then the content must not be reported as stored.
    """

    generation: int
    state: bytes | None
    records: tuple[bytes, ...]
    synced: bool

    @property
    def is_fresh(self) -> bool:
        """Whether the disk holds nothing that was ever acknowledged, because it is new or was wiped."""
        return self.state is None and not self.records


@dataclass(frozen=True, slots=True)
class _Slot:
    """A slot file: whether it holds any bytes, and the state if it is intact."""

    present: bool
    generation: int = 0
    state: bytes | None = None


@dataclass(frozen=True, slots=True)
class _Log:
    """The intact frames of a log file."""

    generation: int | None  # None without frame 0.
    records: tuple[bytes, ...]
    end: int  # Offset behind the last intact frame.
    chain: int  # Checksum of the last intact frame.
    size: int


class Store:
    """The two slots and logs of one folder; calls block on the disk and must come from one thread.

    A call that fails raises DiskError, which names the remedy. The store stays usable and the next call tries
    again. After a DiskError, nothing of that call may be assumed to be stored.
    """

    def __init__(self, folder: Path, files: Files, prefix: str = "") -> None:
        """`prefix`: prefix of the file names, for several stores in one folder."""
        self._folder, self._files = folder, files
        self._slots = (folder / f"{prefix}slot.0", folder / f"{prefix}slot.1")
        self._logs = (folder / f"{prefix}log.0", folder / f"{prefix}log.1")
        self._linked: set[Path] = set()  # Files whose names the last folder sync covered.
        self._loaded = False
        self._synced = False  # Whether the loaded content is known to be on disk.
        self._generation = 0
        self._sequence, self._chain, self._end = 0, _CHAIN, 0  # Of the last stored frame of the log.
        self._log_is_clean = False  # Whether the log ends at its last stored frame.
        self._failed_checkpoint = False  # Whether the next generation may be partly on disk.

    @classmethod
    def open(cls, folder: Path, files: Files, prefix: str = "") -> Store:
        """Returns the store of an existing folder; nothing is read or written before `load`."""
        return cls(folder, files, prefix)

    @property
    def log_bytes(self) -> int:
        """The length of the log in bytes; the caller makes a checkpoint when it exceeds its limit."""
        return self._end

    @property
    def generation(self) -> int:
        """The number of completed checkpoints; 0 before the first."""
        return self._generation

    # --- reading

    def load(self) -> Loaded:
        """Reads the stored state; raises DiskError if it is unreadable or an acknowledged state is lost."""
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
            f"state in {self._folder} is damaged: generation {max(completed, newest.generation + 1)} was"
            f" completed, but the newest intact slot is {newest.generation}",
            "empty the folder and restart the process; it gets the state from the other machines",
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
        """Appends a record to the log and syncs it; raises DiskError."""
        self.append_all((record,))

    def append_all(self, records: Iterable[bytes]) -> None:
        """Appends records in order with one write and one sync; raises DiskError unless all are stored.

        A loss of power during the call may leave the first few of them.
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
        """Replaces the stored state and all records with `state`; raises DiskError.

        A crash leaves either the previous state and records, or the new state. After a DiskError the previous
        ones remain, and later records extend them.
        """
        self.sync()
        generation = self._generation + 1
        slot, log = self._slots[generation % 2], self._logs[generation % 2]
        self._failed_checkpoint = True
        self._guard_write(partial(self._write_slot, slot, generation, state), slot)
        frame, chain = _frame(b"", generation, 0, _CHAIN)
        self._guard_write(partial(self._write_log, log, 0, frame, truncate=True), log)
        self._failed_checkpoint, self._log_is_clean = False, True
        self._generation = generation
        self._sequence, self._chain, self._end = 1, chain, len(frame)

    def sync(self) -> None:
        """Brings the files to the stored state after a load or a failed checkpoint; raises DiskError.

        Does nothing if they are up to date.
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
        """Syncs all writes and truncations that an earlier process may have left unsynced in any file."""
        names = self._guard_read(partial(self._files.names, self._folder), self._folder)
        present = [path for path in self._slots + self._logs if path.name in names]
        for path in present:
            self._guard_write(partial(self._files.sync, path), path)
        self._guard_write(partial(self._files.sync_folder, self._folder), self._folder)
        self._linked.update(present)

    def _undo_checkpoint(self) -> None:
        """Empties the next generation's log, then its slot: no log may refer to a missing slot."""
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
        """Writes behind the stored frames of the log, after truncating the remains of a failed write."""
        path, truncate = self._logs[self._generation % 2], not self._log_is_clean
        self._log_is_clean = False
        self._guard_write(partial(self._write_log, path, self._end, frames, truncate=truncate), path)
        self._log_is_clean = True
        self._end += len(frames)

    def _write_log(self, path: Path, end: int, frames: bytes, truncate: bool) -> None:
        if truncate:
            self._files.truncate(path, end)
        self._files.write(path, end, frames)
        self._sync_file(path)

    def _sync_file(self, path: Path) -> None:
        """Syncs a file, and the folder if the file name is new."""
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
    """Returns the log frame of a record, and the checksum that the next frame continues."""
    if len(record) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(record)} bytes is too long for the log; make a checkpoint")
    head = _FRAME.pack(len(record), generation, sequence)
    chain = zlib.crc32(record, zlib.crc32(head, chain))
    return head + _SUM.pack(chain) + record, chain


def _read_slot(at: int, data: bytes) -> _Slot:
    """Parses a slot file; a generation that belongs in the other file is ignored."""
    if len(data) >= _SLOT_HEAD:
        magic, generation, length = _SLOT.unpack_from(data)
        (checksum,) = _SUM.unpack_from(data, _SLOT.size)
        if magic == _MAGIC and generation > 0 and generation % 2 == at and length <= len(data) - _SLOT_HEAD:
            state = data[_SLOT_HEAD : _SLOT_HEAD + length]
            if zlib.crc32(state, zlib.crc32(data[: _SLOT.size])) == checksum:
                return _Slot(True, generation, state)
    return _Slot(bool(data))


def _read_log(at: int, data: bytes) -> _Log:
    """Parses a log file up to the first frame that is torn or has another generation or sequence number."""
    records: list[bytes] = []
    log_generation: int | None = None
    chain, end, sequence = _CHAIN, 0, 0
    while end + _FRAME_HEAD <= len(data):
        length, generation, number = _FRAME.unpack_from(data, end)
        (checksum,) = _SUM.unpack_from(data, end + _FRAME.size)
        start = end + _FRAME_HEAD
        if length > len(data) - start or number != sequence or generation % 2 != at:
            break
        if log_generation is not None and generation != log_generation:
            break
        record = data[start : start + length]
        chained = zlib.crc32(record, zlib.crc32(data[end : end + _FRAME.size], chain))
        if chained != checksum:
            break
        if sequence > 0:
            records.append(record)
        log_generation, chain, end, sequence = generation, chained, start + length, sequence + 1
    return _Log(log_generation, tuple(records), end, chain, len(data))


def _disk_error(error: OSError, operation: str, path: Path) -> DiskError:
    """Converts an OSError to a DiskError that names the remedy."""
    remedy = {
        errno.ENOSPC: "free space on the disk; the next call retries",
        errno.EDQUOT: "free space on the disk; the next call retries",
        errno.ENOENT: "set data_dir to an existing folder",
        errno.EACCES: "give this process read and write access to the folder",
        errno.EROFS: "give this process read and write access to the folder",
    }.get(error.errno or 0, "check the disk; the next call retries")
    name = errno.errorcode.get(error.errno or 0, "error")
    return DiskError(f"cannot {operation} {path} ({name})", remedy)
