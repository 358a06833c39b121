"""Loads versions of the decision module: the working tree, a git commit, or a named baseline."""

from __future__ import annotations

import io
import subprocess
import tarfile
import tempfile
from contextlib import ExitStack
from pathlib import Path

from mastturn.emulator.baselines import BASELINES, baseline
from mastturn.emulator.contract import PACKAGE, Version, installed, load
from mastturn.files import LabError

WORKING_TREE = "."
INSTALLED = "module"


def _git(root: Path, *arguments: str) -> bytes:
    try:
        return subprocess.run(["git", "-C", str(root), *arguments], check=True, capture_output=True).stdout
    except FileNotFoundError:
        raise LabError("git: not installed; versions by commit are unavailable") from None
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode(errors="replace").strip().splitlines()
        raise LabError(f"git: {reason[-1] if reason else 'failed'}") from None


class Versions:
    """Context manager that holds temporary folders of versions extracted from git."""

    def __init__(self, root: Path | None = None) -> None:
        self._root = root or Path.cwd()
        self._temporary_folders = ExitStack()
        self._folders: dict[str, Path] = {}

    def __enter__(self) -> Versions:
        return self

    def __exit__(self, *_: object) -> None:
        self._temporary_folders.close()

    def folder(self, rev: str) -> str:
        """Folder or name of a version for `open_version` in any process; raises LabError if unknown."""
        if rev in BASELINES or rev == INSTALLED:
            return rev
        if rev == WORKING_TREE:
            return str(self._root) if (self._root / PACKAGE).is_dir() else INSTALLED
        if rev not in self._folders:
            try:
                commit = _git(self._root, "rev-parse", "--verify", "--quiet", f"{rev}^{{commit}}")
            except LabError:
                raise LabError(
                    f"version {rev!r}: no such commit; or '.', or {', '.join(BASELINES)}"
                ) from None
            archive_bytes = _git(self._root, "archive", commit.decode().strip(), PACKAGE)
            folder = Path(
                self._temporary_folders.enter_context(tempfile.TemporaryDirectory(prefix="mastturn-"))
            )
            with tarfile.open(fileobj=io.BytesIO(archive_bytes)) as archive:
                archive.extractall(folder, filter="data")
            self._folders[rev] = folder
        return str(self._folders[rev])


def open_version(folder: str) -> Version:
    """Load a version by the result of `Versions.folder`."""
    if folder in BASELINES:
        return baseline(folder)
    if folder == INSTALLED:
        return installed()
    return load(Path(folder), folder)
