"""One replica's account of one tenant: what it was granted, what its requests have reserved and spent."""

from __future__ import annotations

from quota.messages import Grant, Recall, TokenRequest


class Account:
    """Tokens of one tenant at one incarnation of a replica; all figures are totals of the window."""

    __slots__ = (
        "granted",
        "incarnation",
        "remaining",
        "replica",
        "reserved",
        "returned",
        "spent",
        "tenant",
        "window",
    )

    def __init__(self, replica: str, incarnation: str, tenant: str) -> None:
        self.replica, self.incarnation, self.tenant = replica, incarnation, tenant
        self.window = 0
        self.granted = self.returned = self.spent = self.reserved = 0
        self.remaining = 0  # that the ledger had when it last answered

    def available(self) -> int:
        """What a request may reserve now."""
        return self.granted - self.returned - self.spent - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Put aside the most that a request may use; False where that has to be asked for first."""
        if tokens > self.available():
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int, window: int) -> None:
        """A request has ended; what it did not use is free again. One of an earlier window was paid there."""
        if window == self.window:
            self.reserved -= reserved
            self.spent += min(used, reserved)

    def request_tokens(self, needed: int, extra: int = 0) -> TokenRequest:
        """Ask for so many tokens, and so many more if there is plenty."""
        return TokenRequest(
            self.replica,
            self.incarnation,
            self.tenant,
            self.window,
            self.granted,
            self.returned,
            self.spent,
            needed,
            extra,
        )

    def apply_grant(self, grant: Grant) -> None:
        """The ledger's word; that of a later window begins it here."""
        if grant.incarnation != self.incarnation or grant.window < self.window:
            return
        if grant.window > self.window:
            self.window = grant.window
            self.granted = self.returned = self.spent = self.reserved = 0
        self.granted = max(self.granted, grant.granted)
        self.remaining = grant.remaining

    def handle_recall(self, recall: Recall) -> TokenRequest | None:
        """Give back what no request has reserved; None for another window."""
        if recall.window != self.window:
            return None
        self.returned += self.available()
        return self.request_tokens(0)
