"""A replica's memory on disk: sqlite in WAL, each entry with a checksum, and a second file as a snapshot.

A process that is killed at any moment leaves the last commit whole; one commit is made for each change
before it is told or acknowledged. Power loss may take the last commits (synchronous=NORMAL): the history
then goes on behind a hole, and the peers have what is missing. A file that is torn or spoilt is put aside,
and whatever rows of it and of the snapshot can be read are taken; `seen` is then forgotten, since nobody
may believe any more that we have what we had: all of it is fetched from the peers again.
"""

from __future__ import annotations

import contextlib
import logging
import sqlite3
import zlib
from collections.abc import Iterable
from pathlib import Path

import msgspec

from fleet.registry.entries import Entry, Key
from fleet.registry.history import HistoryState
from fleet.registry.replica import ReplicaState
from mastturn.registry.form import Detail, FormError, as_detail, as_entry

log = logging.getLogger(__name__)

FORMAT = 1
_TABLES = """
CREATE TABLE IF NOT EXISTS entries (
    list TEXT NOT NULL, id TEXT NOT NULL, revision INTEGER NOT NULL, body BLOB NOT NULL, sum INTEGER NOT NULL,
    PRIMARY KEY (list, id)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, body BLOB NOT NULL) WITHOUT ROWID;
"""


class StoreError(Exception):
    """The file can't be used or written; one plain line."""


class Facts(msgspec.Struct, frozen=True):
    """What is kept beside the entries."""

    format: int = FORMAT
    replica: str = ""
    revision: int = 0
    floor: int = 0
    holes: tuple[tuple[int, int], ...] = ()
    seen: dict[str, int] = {}
    acked: dict[str, int] = {}


def _sum(list_name: str, id_: str, revision: int, body: bytes) -> int:
    return zlib.crc32(f"{list_name}\0{id_}\0{revision}\0".encode() + body)


class _Read(msgspec.Struct):
    """What one file had to give."""

    entries: dict[Key, tuple[int, Entry]]
    facts: Facts | None
    lost: bool


class Store:
    """One replica's file."""

    def __init__(self, path: Path, replica: str) -> None:
        self._path, self._replica = path, replica
        self._snapshot = path.with_name(path.name + ".snapshot")
        self._connection: sqlite3.Connection | None = None
        self.lost = ""  # what the last opening could not read, in words

    # ---- opening ---------------------------------------------------------------------------------

    def open(self) -> ReplicaState:
        """Read what is whole; raises StoreError only if no file can be made there."""
        read = self._read(self._path) if self._path.exists() else None
        if read is not None and read.facts is not None and read.facts.replica not in ("", self._replica):
            raise StoreError(f"{self._path}: belongs to replica {read.facts.replica!r}")
        if read is not None and (read.lost or read.facts is None):
            read = self._salvage(read)
        self._connect()
        if read is None:
            return ReplicaState()
        facts = read.facts or Facts()
        entries = tuple(sorted(read.entries.values(), key=lambda item: item[0]))
        newest = max([facts.revision, *(revision for revision, _ in entries)])
        kept = ReplicaState(
            HistoryState(newest, facts.floor, facts.holes, entries), dict(facts.seen), dict(facts.acked)
        )
        if self.lost:
            self.write(entries, (), kept.history, kept.seen, kept.acked)
        return kept

    def _read(self, path: Path) -> _Read:
        found = _Read({}, None, False)
        try:
            with contextlib.closing(sqlite3.connect(path)) as connection:
                if connection.execute("PRAGMA quick_check(1)").fetchone() != ("ok",):
                    found.lost = True
                with contextlib.suppress(sqlite3.Error, msgspec.MsgspecError):
                    row = connection.execute("SELECT body FROM facts WHERE name = 'replica'").fetchone()
                    found.facts = msgspec.json.decode(row[0], type=Facts) if row else Facts()
                for row in connection.execute("SELECT list, id, revision, body, sum FROM entries"):
                    self._read_row(row, found)
        except (sqlite3.Error, UnicodeDecodeError):
            found.lost = True
        return found

    @staticmethod
    def _read_row(row: tuple[str, str, int, bytes, int], found: _Read) -> None:
        list_name, id_, revision, body, check = row
        try:
            if _sum(list_name, id_, revision, body) != check:
                raise FormError("the checksum does not fit")
            entry = as_entry(msgspec.json.decode(body, type=Detail), id_)
        except (FormError, msgspec.MsgspecError, TypeError, AttributeError):
            found.lost = True
            return
        found.entries[entry.key] = (revision, entry)

    def _salvage(self, read: _Read) -> _Read:
        """Put a spoilt file aside, and fill up from the snapshot what it lacks."""
        whole = len(read.entries)
        older = self._read(self._snapshot) if self._snapshot.exists() else None
        for key, row in (older.entries if older is not None else {}).items():
            if key not in read.entries:
                read.entries[key] = row
        aside = self._aside()
        for end in ("", "-wal", "-shm"):
            part = self._path.with_name(self._path.name + end)
            if part.exists():
                part.rename(aside.with_name(aside.name + end))
        more = f", {len(read.entries) - whole} more in the snapshot" if older is not None else ""
        self.lost = f"{self._path} is spoilt and lies at {aside.name}: {whole} entries could be read{more}"
        facts = read.facts or (older.facts if older is not None and older.facts is not None else Facts())
        read.facts = Facts(replica=self._replica, revision=facts.revision, holes=facts.holes)
        # The rows that are lost may be those of the latest changes: nobody may go on from what we had told.
        newest = max([facts.revision, *(revision for revision, _ in read.entries.values())])
        read.facts = msgspec.structs.replace(read.facts, floor=newest + 1)
        return read

    def _aside(self) -> Path:
        number = 1
        while (aside := self._path.with_name(f"{self._path.name}.spoilt-{number}")).exists():
            number += 1
        return aside

    def _connect(self) -> None:
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            # Opened in one thread and written in another; never by two at a time.
            connection = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
            connection.execute("PRAGMA journal_mode=WAL")
            connection.execute("PRAGMA synchronous=NORMAL")
            connection.executescript(_TABLES)
        except (sqlite3.Error, OSError) as error:
            raise StoreError(f"{self._path}: {error}") from None
        self._connection = connection

    # ---- writing ---------------------------------------------------------------------------------

    def write(
        self,
        entries: Iterable[tuple[int, Entry]],
        forgotten: Iterable[Key],
        history: HistoryState,
        seen: dict[str, int],
        acked: dict[str, int],
    ) -> None:
        """Commit it all or nothing; raises StoreError, after which the same can be tried again."""
        assert self._connection is not None
        facts = Facts(FORMAT, self._replica, history.revision, history.floor, history.holes, seen, acked)
        rows = []
        for revision, entry in entries:
            body = msgspec.json.encode(as_detail(entry))
            rows.append((entry.list, entry.id, revision, body, _sum(entry.list, entry.id, revision, body)))
        try:
            self._connection.execute("BEGIN IMMEDIATE")
            self._connection.executemany("REPLACE INTO entries VALUES (?, ?, ?, ?, ?)", rows)
            self._connection.executemany("DELETE FROM entries WHERE list = ? AND id = ?", list(forgotten))
            self._connection.execute(
                "REPLACE INTO facts VALUES ('replica', ?)", (msgspec.json.encode(facts),)
            )
            self._connection.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self._connection.execute("ROLLBACK")
            raise StoreError(f"{self._path}: {error}") from None

    def snapshot(self) -> None:
        """Write the second file anew, whole or not at all; raises StoreError. Any thread may call it."""
        part = self._snapshot.with_name(self._snapshot.name + ".part")
        try:
            part.unlink(missing_ok=True)
            with (
                contextlib.closing(sqlite3.connect(self._path)) as source,
                contextlib.closing(sqlite3.connect(part)) as copy,
            ):
                source.backup(copy)
                copy.execute("PRAGMA journal_mode=DELETE")
            part.replace(self._snapshot)
        except (sqlite3.Error, OSError) as error:
            part.unlink(missing_ok=True)
            raise StoreError(f"{self._snapshot}: {error}") from None

    def close(self) -> None:
        """Let go of the file."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
