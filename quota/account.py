"""A replica's account of one tenant: tokens granted to it, and reserved and spent by its requests."""

from __future__ import annotations

from quota.messages import Grant, Recall, TokenRequest


class Account:
    """Tokens of one tenant at one incarnation of a replica; all counts are totals since the window began."""

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
        self.remaining = 0  # tokens that the ledger had left when it last answered

    def available(self) -> int:
        """Returns the number of tokens that a request can reserve now."""
        return self.granted - self.returned - self.spent - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Reserves the maximum that a request may use; returns False if more must be requested first."""
        if tokens > self.available():
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int, window: int) -> None:
        """Releases a request's reservation and records the tokens it used.

        A reservation from an earlier window was charged to that window and is ignored.
        """
        if window == self.window:
            self.reserved -= reserved
            self.spent += min(used, reserved)

    def request_tokens(self, needed: int, extra: int = 0) -> TokenRequest:
        """Builds a request for `needed` tokens, and for `extra` ones if the ledger has a surplus."""
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
        """Applies the ledger's answer; an answer for a later window starts that window here."""
        if grant.incarnation != self.incarnation or grant.window < self.window:
            return
        if grant.window > self.window:
            self.window = grant.window
            self.granted = self.returned = self.spent = self.reserved = 0
        self.granted = max(self.granted, grant.granted)
        self.remaining = grant.remaining

    def handle_recall(self, recall: Recall) -> TokenRequest | None:
        """Returns all unreserved tokens to the ledger; returns None if the recall is for another window."""
        if recall.window != self.window:
            return None
        self.returned += self.available()
        return self.request_tokens(0)
