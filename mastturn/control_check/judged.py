"""Checks the rules within a search, whose states hold the state of the rules as an immutable snapshot."""

from __future__ import annotations

from typing import Any

from consensus.effects import Committed, Lead, Reply, Verdict
from consensus.primary import Command
from mastturn.control_check.rules import PendingCall, Rules

RulesSnapshot = tuple[Any, ...]
Calls = tuple[tuple[int, int, int], ...]  # unanswered operator calls: token, command, floor


def judge(
    rules_snapshot: RulesSnapshot,
    asked: Calls,
    reported: tuple[Reply | Committed | Lead, ...],
    commands: list[Command],
) -> tuple[RulesSnapshot, Calls]:
    """Returns the snapshot and the unanswered calls after these effects; raises BrokenRuleError."""
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
    """Returns the state of the rules as an immutable, hashable value."""
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
    """Returns rules restored from a snapshot."""
    chain, epochs, reported, winners, refused, leaders, taken = rules_snapshot
    return Rules(dict(chain), dict(epochs), reported, dict(winners), dict(refused), set(taken), dict(leaders))
