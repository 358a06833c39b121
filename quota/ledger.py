"""The ledger of all tenants: what each life of each replica was granted. It never grants a token twice.

Its holder is the primary of the control state: each change is with the other holders before its answer goes
out, and a primary that was replaced gets no change through. A life of a replica that is over keeps what it
was granted, spent or not: nobody can know what it still spent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from quota.messages import Ask, Grant, Recall

SPARE = 4  # what is granted beyond need is at most a part in so many, for each replica, of what is left


@dataclass(slots=True)
class Drawn:
    """What one life of a replica has drawn, in tokens."""

    granted: int = 0
    returned: int = 0
    spent: int = 0


@dataclass(slots=True)
class Tenant:
    """One tenant's window."""

    tokens: int  # its allowance in a window
    window: int = 1
    drawn: dict[tuple[str, str], Drawn] = field(default_factory=dict)  # by replica and life

    def left(self) -> int:
        """What was not granted, or came back; less than 0 after the allowance was cut."""
        return self.tokens - sum(d.granted - d.returned for d in self.drawn.values())


class Ledger:
    """All tenants."""

    def __init__(self, allowances: Mapping[str, int]) -> None:
        self._tenants = {name: Tenant(tokens) for name, tokens in allowances.items()}

    def tenant(self, name: str) -> Tenant | None:
        """One tenant's window, for a report."""
        return self._tenants.get(name)

    def allow(self, allowances: Mapping[str, int]) -> None:
        """Other allowances are in force, also in mid-window; who is named no more is bound by none."""
        for name, tokens in allowances.items():
            known = self._tenants.get(name)
            if known is None:
                self._tenants[name] = Tenant(tokens)
            else:
                known.tokens = tokens
        self._tenants = {name: t for name, t in self._tenants.items() if name in allowances}

    def begin_window(self, name: str) -> None:
        """The tenant's next window begins: all of its allowance is there again."""
        tenant = self._tenants[name]
        tenant.window += 1
        tenant.drawn.clear()

    def ask(self, ask: Ask, replicas: int) -> tuple[Grant | None, Recall | None]:
        """Grant what is asked for as far as it is there; the recall that is due if it is not.

        `replicas`: how many there are. None for a tenant that has no allowance: it draws freely.
        """
        tenant = self._tenants.get(ask.tenant)
        if tenant is None or ask.window > tenant.window:  # a later one: no ledger of ours said so
            return None, None
        drawn = tenant.drawn.setdefault((ask.replica, ask.life), Drawn())
        recall = None
        if ask.window == tenant.window:
            drawn.granted = max(drawn.granted, ask.granted)
            drawn.returned = max(drawn.returned, min(ask.returned, drawn.granted))
            drawn.spent = max(drawn.spent, ask.spent)
            recall = self._grant(tenant, drawn, ask, max(replicas, 1))
        grant = Grant(ask.replica, ask.life, ask.tenant, tenant.window, drawn.granted, tenant.left())
        return grant, recall

    def _grant(self, tenant: Tenant, drawn: Drawn, ask: Ask, replicas: int) -> Recall | None:
        unheard = drawn.granted - ask.granted  # in an answer that was lost, or is on its way
        need, left = max(ask.need - unheard, 0), tenant.left()
        if need > left:
            outside = any(d.granted - d.returned > d.spent for d in tenant.drawn.values() if d is not drawn)
            return Recall(ask.tenant, tenant.window) if outside else None
        more = max(min(ask.more - max(unheard - ask.need, 0), (left - need) // (SPARE * replicas)), 0)
        drawn.granted += need + more
        return None

    # ---- as it is written

    def state(self) -> tuple[tuple[object, ...], ...]:
        """All of it, for those that hold it beside us."""
        return tuple(
            (
                name,
                t.tokens,
                t.window,
                tuple((*k, d.granted, d.returned, d.spent) for k, d in sorted(t.drawn.items())),
            )
            for name, t in sorted(self._tenants.items())
        )

    @classmethod
    def of(cls, state: Iterable[tuple[object, ...]]) -> Ledger:
        """The ledger of such a state."""
        found = cls({})
        for name, tokens, window, drawn in state:
            assert isinstance(name, str) and isinstance(tokens, int) and isinstance(window, int)
            assert isinstance(drawn, tuple)
            lives = {
                (r, life): Drawn(granted, returned, spent) for r, life, granted, returned, spent in drawn
            }
            found._tenants[name] = Tenant(tokens, window, lives)
        return found
