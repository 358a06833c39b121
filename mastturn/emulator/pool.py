"""One balancer's connections: one request at a time on each, kept for the next, closed when idle."""

from __future__ import annotations

from mastturn.emulator.machine import Box


class Pool:
    """The idle connections of one balancer, newest last, for each box."""

    def __init__(self, idle_ms: float) -> None:
        self._idle_ms = idle_ms
        self._idle: dict[str, list[tuple[float, int, Box]]] = {}
        self.open_count = 0

    def acquire(self, box: Box, now: float) -> int | None:
        """An idle connection's epoch: of the box's present process, or of one that vanished silently."""
        kept = self._idle.get(box.name)
        while kept:
            _, epoch, _ = kept.pop()
            if epoch == box.epoch or epoch in box.silent_epochs:
                return epoch
            self.open_count -= 1  # its process ended and said so
        return None

    def opened(self, box: Box) -> None:
        """A connection has come up."""
        self.open_count += 1
        box.connections += 1

    def keep(self, box: Box, epoch: int, now: float) -> None:
        """A connection is free again."""
        self._idle.setdefault(box.name, []).append((now, epoch, box))

    def closed(self, box: Box, epoch: int) -> None:
        """A connection is gone."""
        self.open_count -= 1
        if epoch == box.epoch:
            box.connections -= 1

    def sweep(self, now: float) -> None:
        """Close what has been idle too long."""
        for kept in self._idle.values():
            while kept and now - kept[0][0] >= self._idle_ms:
                _, epoch, box = kept.pop(0)
                self.closed(box, epoch)

    def drop_all(self) -> None:
        """The balancer's process ends: all of its connections end with it."""
        for kept in self._idle.values():
            for _, epoch, box in kept:
                self.closed(box, epoch)
        self._idle.clear()
        self.open_count = 0
