"""What processes have said in a state of the search, as a value, and the rules for what they say next."""

from __future__ import annotations

from typing import Any

from consensus.effects import Committed, Lead, Reply, Verdict
from consensus.primary import Command
from mastturn.control_check.rules import Asked, Rules

Book = tuple[Any, ...]
Calls = tuple[tuple[int, int, int], ...]  # of operators, without an answer yet: token, command, floor


def judge(
    book: Book, asked: Calls, told: tuple[Reply | Committed | Lead, ...], commands: list[Command]
) -> tuple[Book, Calls]:
    """The book and the open calls after processes have said these; raises BrokenRuleError."""
    rules = rules_of(book)
    for effect in told:
        match effect:
            case Committed():
                rules.committed(effect)
            case Lead(view) if view is not None:
                rules.leads(view.epoch, view.leader().identity)
            case Reply(token, verdict, _):
                call = next(a for a in asked if a[0] == token)
                asked = tuple(a for a in asked if a[0] != token)
                if verdict is not Verdict.MOVED:
                    rules.replied(Asked(commands[call[1]], call[2]), effect)
    return book_of(rules), asked


def book_of(rules: Rules) -> Book:
    """All that rules remember, as a value."""
    return (
        tuple(sorted(rules.chain.items(), key=lambda item: item[0])),
        tuple(sorted(rules.epochs.items())),
        rules.told,
        tuple(sorted(rules.winners.items(), key=lambda item: item[0])),
        tuple(rules.refused.items()),
        tuple(sorted(rules.leaders.items())),
        tuple(sorted(rules.taken, key=lambda taken: taken.ver)),
    )


def rules_of(book: Book) -> Rules:
    """Rules that remember that."""
    chain, epochs, told, winners, refused, leaders, taken = book
    return Rules(dict(chain), dict(epochs), told, dict(winners), dict(refused), set(taken), dict(leaders))
