"""File operations of the store on disk, as an interface that tests can replace with a simulated disk."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Operations on the files of one folder; each blocks on the disk and raises OSError if it refuses."""

    def names(self, folder: Path) -> list[str]:
        """Returns the file names in a folder."""
        ...

    def read(self, path: Path) -> bytes:
        """Returns the content of an existing file."""
        ...

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Writes all of `data` at `offset`; creates the file if it doesn't exist."""
        ...

    def truncate(self, path: Path, length: int) -> None:
        """Sets the length of a file in bytes; creates the file if it doesn't exist."""
        ...

    def sync(self, path: Path) -> None:
        """Returns once everything written to the file is on disk."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Returns once the file names of a folder are on disk."""
        ...


class OsFiles:
    """Operations of the operating system; files stay open, so that an append takes two system calls."""

    def __init__(self) -> None:
        self._open: dict[Path, int] = {}

    def names(self, folder: Path) -> list[str]:
        """Returns the file names in a folder; raises OSError."""
        return os.listdir(folder)

    def read(self, path: Path) -> bytes:
        """Returns the content of an existing file; raises OSError."""
        return path.read_bytes()

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Writes all of `data` at `offset` (bytes); after an OSError, part of it may have been written."""
        descriptor = self._descriptor(path)
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(descriptor, remaining, offset)
            offset += written
            remaining = remaining[written:]

    def truncate(self, path: Path, length: int) -> None:
        """Sets the length of a file in bytes; raises OSError."""
        os.ftruncate(self._descriptor(path), length)

    def sync(self, path: Path) -> None:
        """Returns once everything written to the file is on disk; raises OSError."""
        os.fsync(self._descriptor(path))

    def sync_folder(self, folder: Path) -> None:
        """Returns once the file names of a folder are on disk; raises OSError."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes all files."""
        while self._open:
            _, descriptor = self._open.popitem()
            os.close(descriptor)

    def _descriptor(self, path: Path) -> int:
        descriptor = self._open.get(path)
        if descriptor is None:
            descriptor = self._open[path] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        return descriptor
