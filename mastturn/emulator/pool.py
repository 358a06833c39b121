"""Pools one balancer's connections: one request at a time on each, closed after an idle timeout."""

from __future__ import annotations

from mastturn.emulator.machine import Box


class Pool:
    """Idle connections of one balancer by box, newest last."""

    def __init__(self, idle_ms: float) -> None:
        self._idle_ms = idle_ms
        self._idle: dict[str, list[tuple[float, int, Box]]] = {}
        self.open_count = 0

    def acquire(self, box: Box, now: float) -> int | None:
        """Take an idle connection and return its epoch: the current one, or one that ended silently."""
        kept = self._idle.get(box.name)
        while kept:
            _, epoch, _ = kept.pop()
            if epoch == box.epoch or epoch in box.silent_epochs:
                return epoch
            self.open_count -= 1  # closed by the box when its process ended
        return None

    def opened(self, box: Box) -> None:
        """Count an established connection."""
        self.open_count += 1
        box.connections += 1

    def keep(self, box: Box, epoch: int, now: float) -> None:
        """Return a connection to the pool."""
        self._idle.setdefault(box.name, []).append((now, epoch, box))

    def closed(self, box: Box, epoch: int) -> None:
        """Count a closed connection."""
        self.open_count -= 1
        if epoch == box.epoch:
            box.connections -= 1

    def sweep(self, now: float) -> None:
        """Close connections that exceed the idle timeout."""
        for kept in self._idle.values():
            while kept and now - kept[0][0] >= self._idle_ms:
                _, epoch, box = kept.pop(0)
                self.closed(box, epoch)

    def drop_all(self) -> None:
        """Close all connections when the balancer's process ends."""
        for kept in self._idle.values():
            for _, epoch, box in kept:
                self.closed(box, epoch)
        self._idle.clear()
        self.open_count = 0
