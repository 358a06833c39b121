"""One replica's account of one tenant: what it was granted, what its requests have reserved and spent."""

from __future__ import annotations

from quota.messages import Ask, Grant, Recall


class Account:
    """Tokens of one tenant at one life of a replica; all figures are totals of the window."""

    __slots__ = ("granted", "left", "life", "replica", "reserved", "returned", "spent", "tenant", "window")

    def __init__(self, replica: str, life: str, tenant: str) -> None:
        self.replica, self.life, self.tenant = replica, life, tenant
        self.window = 0
        self.granted = self.returned = self.spent = self.reserved = 0
        self.left = 0  # that the ledger had when it last answered

    def free(self) -> int:
        """What a request may reserve now."""
        return self.granted - self.returned - self.spent - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Put aside the most that a request may use; False where that has to be asked for first."""
        if tokens > self.free():
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int, window: int) -> None:
        """A request has ended; what it did not use is free again. One of an earlier window was paid there."""
        if window == self.window:
            self.reserved -= reserved
            self.spent += min(used, reserved)

    def ask(self, need: int, more: int = 0) -> Ask:
        """Ask for so many tokens, and so many more if there is plenty."""
        return Ask(
            self.replica,
            self.life,
            self.tenant,
            self.window,
            self.granted,
            self.returned,
            self.spent,
            need,
            more,
        )

    def take(self, grant: Grant) -> None:
        """The ledger's word; that of a later window begins it here."""
        if grant.life != self.life or grant.window < self.window:
            return
        if grant.window > self.window:
            self.window = grant.window
            self.granted = self.returned = self.spent = self.reserved = 0
        self.granted = max(self.granted, grant.granted)
        self.left = grant.left

    def recalled(self, recall: Recall) -> Ask | None:
        """Give back what no request has reserved; None for another window."""
        if recall.window != self.window:
            return None
        self.returned += self.free()
        return self.ask(0)
