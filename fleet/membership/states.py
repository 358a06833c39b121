"""The states of a fleet member as one process sees it, and the transitions between them.

| from      | joining    | present | suspected | failed | left |
|-----------|------------|---------|-----------|--------|------|
| joining   | -          | vouched | accused   | failed | left |
| present   | superseded | -       | accused   | failed | left |
| suspected | superseded | refuted | -         | failed | left |
| failed    | superseded | refuted | -         | -      | left |
| left      | superseded | -       | -         | -      | -    |

Triggers:
- vouched: this process has reached the member, or a present member has it in its view.
- accused: a valid accusation exists, for the member's current incarnation and turn.
- refuted: the member has a higher turn, or all accusers have withdrawn.
- failed: `MIN_ACCUSERS` accusers, the time to answer has passed, and the observer doesn't consider itself
  isolated; or another observer has marked the member failed.
- left: the member announced its departure (quiesce, SIGTERM, upgrade).
- superseded: a process with the same name and a higher incarnation has started.
"""

from __future__ import annotations

import enum


class State(enum.Enum):
    """The state of a member as one process sees it."""

    JOINING = "joining"
    PRESENT = "present"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"


class Trigger(enum.Enum):
    """What causes a transition; see the module's documentation."""

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
"""States counted for shared budgets: a member that is only suspected may still be serving."""
