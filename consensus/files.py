"""The calls on files that the state on disk needs, small enough that tests stand in for a disk."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Calls on the files of one folder; each waits for the disk and raises OSError where it refuses."""

    def names(self, folder: Path) -> list[str]:
        """The names in a folder."""
        ...

    def read(self, path: Path) -> bytes:
        """All bytes of a file that is there."""
        ...

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Writes all of `data` from `offset` on; a file that isn't there is made."""
        ...

    def truncate(self, path: Path, length: int) -> None:
        """Sets a file's length in bytes; a file that isn't there is made."""
        ...

    def sync(self, path: Path) -> None:
        """Returns once all that was written to the file is on the disk."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder are on the disk."""
        ...


class OsFiles:
    """The calls of the operating system; the files stay open, so that an append costs two calls."""

    def __init__(self) -> None:
        self._open: dict[Path, int] = {}

    def names(self, folder: Path) -> list[str]:
        """The names in a folder; raises OSError."""
        return os.listdir(folder)

    def read(self, path: Path) -> bytes:
        """All bytes of a file that is there; raises OSError."""
        return path.read_bytes()

    def write(self, path: Path, offset: int, data: bytes) -> None:
        """Writes all of `data` from `offset` (bytes) on; raises OSError, and part may be written then."""
        descriptor = self._descriptor(path)
        rest = memoryview(data)
        while rest:
            written = os.pwrite(descriptor, rest, offset)
            offset += written
            rest = rest[written:]

    def truncate(self, path: Path, length: int) -> None:
        """Sets a file's length in bytes; raises OSError."""
        os.ftruncate(self._descriptor(path), length)

    def sync(self, path: Path) -> None:
        """Returns once all that was written to the file is on the disk; raises OSError."""
        os.fsync(self._descriptor(path))

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder are on the disk; raises OSError."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Gives the descriptors back."""
        while self._open:
            _, descriptor = self._open.popitem()
            os.close(descriptor)

    def _descriptor(self, path: Path) -> int:
        descriptor = self._open.get(path)
        if descriptor is None:
            descriptor = self._open[path] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        return descriptor
