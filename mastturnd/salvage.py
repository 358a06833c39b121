"""Reads the data directory of a stopped control process, for recovery after the loss of a majority.

The directory is copied first and only the copy is read, so that the disk stays unchanged.
"""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import dataclass
from pathlib import Path

from config.errors import DiskError, WireError
from consensus.codec import apply_record, decode_record
from consensus.disk_store import Store
from consensus.files import OsFiles
from consensus.views import DurableState
from mastturnd.wrong import CommandFailedError, UsageError

FILES = ("slot.0", "slot.1", "log.0", "log.1")


@dataclass(frozen=True, slots=True)
class SalvagedState:
    """The newest state on a disk; `holds`: whether its process was a holder of the configuration."""

    ver: int
    body: bytes
    epoch: int
    holds: bool
    holders: tuple[str, ...]  # nodes that hold the configuration in that epoch


def read(folder: str) -> SalvagedState:
    """Return what a data directory holds; raises UsageError or CommandFailedError."""
    directory = Path(folder)
    found = [name for name in FILES if (directory / name).is_file()]
    if not found:
        raise UsageError(
            f"{folder} holds none of {', '.join(FILES)}", "name the data_dir of a control process"
        )
    durable_state = DurableState("")
    with tempfile.TemporaryDirectory(prefix="salvage-") as copy:
        try:
            for name in found:
                shutil.copyfile(directory / name, Path(copy) / name)
            loaded = Store.open(Path(copy), OsFiles()).load()
            for part in ([loaded.state] if loaded.state is not None else []) + list(loaded.records):
                apply_record(durable_state, decode_record(part))
        except OSError as error:
            raise UsageError(f"{folder} can't be read ({error.strerror})", "see its rights") from None
        except (DiskError, WireError, IndexError, ValueError, KeyError, TypeError) as error:
            raise CommandFailedError(
                f"{folder} can't be read whole ({error})", "try the disk of another"
            ) from None
    view = durable_state.view
    holders = tuple(view.member_at(slot).node for slot in view.holders) if view is not None else ()
    document = durable_state.document
    epoch = view.epoch if view is not None else 0
    return SalvagedState(document.ver, document.body, epoch, durable_state.is_holder(), holders)
