"""The states of a member as one process sees it, and what moves it from one to another.

| from      | joining | present | suspected | failed | left |
|-----------|---------|---------|-----------|--------|------|
| joining   | -       | vouched | accused   | judged | goes |
| present   | newer   | -       | accused   | judged | goes |
| suspected | newer   | refutes | -         | judged | goes |
| failed    | newer   | refutes | -         | -      | goes |
| left      | newer   | -       | -         | -      | -    |

vouched: we have reached it, or one who is present tells of it. accused: an accusation of its present
incarnation and turn stands. refutes: it is a turn further, or all accusers have withdrawn. judged:
`WITNESSES` accusers and the time to answer, while the observer does not doubt itself; or another observer has
judged so. goes: it said so itself (quiesce, SIGTERM, upgrade). newer: another process under the name, by a
higher incarnation.
"""

from __future__ import annotations

import enum


class State(enum.Enum):
    """What one process thinks of another."""

    JOINING = "joining"
    PRESENT = "present"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"


class Trigger(enum.Enum):
    """What moves a member, as in the table above."""

    VOUCHED = "vouched"
    ACCUSED = "accused"
    REFUTED = "refuted"
    FAILED = "failed"
    LEFT = "left"
    SUPERSEDED = "superseded"


TRANSITIONS: dict[tuple[State, Trigger], State] = {
    (State.JOINING, Trigger.VOUCHED): State.PRESENT,
    (State.JOINING, Trigger.ACCUSED): State.SUSPECTED,
    (State.PRESENT, Trigger.ACCUSED): State.SUSPECTED,
    (State.SUSPECTED, Trigger.REFUTED): State.PRESENT,
    **{(state, Trigger.FAILED): State.FAILED for state in (State.JOINING, State.PRESENT, State.SUSPECTED)},
    (State.FAILED, Trigger.REFUTED): State.PRESENT,
    **{(state, Trigger.LEFT): State.LEFT for state in State if state is not State.LEFT},
    **{(state, Trigger.SUPERSEDED): State.JOINING for state in State if state is not State.JOINING},
}

COUNTED = frozenset({State.PRESENT, State.SUSPECTED})
"""Who has a part of what the fleet shares: one that is only suspected may be serving."""
