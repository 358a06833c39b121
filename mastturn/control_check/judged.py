"""What processes have said in a state of the search, as a value, and the rules for what they say next."""

from __future__ import annotations

from typing import Any

from consensus.effects import Committed, Lead, Reply, Verdict
from consensus.primary import Command
from mastturn.control_check.rules import PendingCall, Rules

RulesSnapshot = tuple[Any, ...]
Calls = tuple[tuple[int, int, int], ...]  # of operators, without an answer yet: token, command, floor


def judge(
    rules_snapshot: RulesSnapshot,
    asked: Calls,
    reported: tuple[Reply | Committed | Lead, ...],
    commands: list[Command],
) -> tuple[RulesSnapshot, Calls]:
    """The book and the open calls after processes have said these; raises BrokenRuleError."""
    rules = restore_rules(rules_snapshot)
    for effect in reported:
        match effect:
            case Committed():
                rules.committed(effect)
            case Lead(view) if view is not None:
                rules.leads(view.epoch, view.leader().identity)
            case Reply(token, verdict, _):
                call = next(a for a in asked if a[0] == token)
                asked = tuple(a for a in asked if a[0] != token)
                if verdict is not Verdict.MOVED:
                    rules.replied(PendingCall(commands[call[1]], call[2]), effect)
    return snapshot_rules(rules), asked


def snapshot_rules(rules: Rules) -> RulesSnapshot:
    """All that rules remember, as a value."""
    return (
        tuple(sorted(rules.chain.items(), key=lambda item: item[0])),
        tuple(sorted(rules.epochs.items())),
        rules.reported,
        tuple(sorted(rules.winners.items(), key=lambda item: item[0])),
        tuple(rules.refused.items()),
        tuple(sorted(rules.leaders.items())),
        tuple(sorted(rules.taken, key=lambda taken: taken.ver)),
    )


def restore_rules(rules_snapshot: RulesSnapshot) -> Rules:
    """Rules that remember that."""
    chain, epochs, reported, winners, refused, leaders, taken = rules_snapshot
    return Rules(dict(chain), dict(epochs), reported, dict(winners), dict(refused), set(taken), dict(leaders))
