"""The search: every history within bounds, the shortest first; and long ones by chance."""

from __future__ import annotations

import math
import pickle
import random
import time
from array import array
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from consensus.replica import Replica
from mastturn.control_check.local import ReplicaFactory
from mastturn.control_check.rules import BrokenRuleError
from mastturn.control_check.state import Bounds, State
from mastturn.control_check.steps import Steps


@dataclass(slots=True)
class SearchResult:
    """What a search has given."""

    states: int = 0
    depth: int = 0  # every history of fewer actions was played
    is_whole: bool = False  # nothing was left to play
    seconds: float = 0.0
    broken: str = ""  # "" where every rule has held
    rule: str = ""
    story: tuple[str, ...] = ()
    taken_over: int = 0  # states in which another than the first leads
    acknowledged: int = 0  # states in which a write is acknowledged
    outcomes: set[Hashable] = field(default_factory=set, repr=False)  # all that was ever said


@dataclass(slots=True)
class _Seen:
    """The states that were met, by their hashes, and how each was come by."""

    places: dict[int, int]
    parents: array[int]
    actions: list[str]

    def add(self, number: int, parent: int, action: str) -> bool:
        if number in self.places:
            return False
        self.places[number] = len(self.parents)
        self.parents.append(parent)
        self.actions.append(action)
        return True

    def story(self, place: int) -> list[str]:
        found: list[str] = []
        while place > 0:
            found.append(self.actions[place])
            place = self.parents[place]
        return found[::-1]


def explore(
    bounds: Bounds, make: ReplicaFactory = Replica, most_states: int = 200_000, most_s: float = math.inf
) -> SearchResult:
    """Breadth first; ends at a broken rule, at the bounds, or at so many states or seconds."""
    began = time.monotonic()
    steps, found = Steps(bounds, make), SearchResult()
    seen = _Seen({}, array("q"), [])
    names: dict[str, str] = {}
    try:
        first = steps.begin()
        seen.add(hash(first), -1, "")
        frontier = deque([(pickle.dumps(first), 0)])
        while frontier:
            image, found.depth = frontier.popleft()
            if len(seen.parents) >= most_states or time.monotonic() - began > most_s:
                break
            state: State = pickle.loads(image)
            place = seen.places[hash(state)]
            found.taken_over += any(steps.processes.leads(p) for p in state.processes[1:])
            found.acknowledged += steps.acknowledged(state)
            found.outcomes.add(steps.reported(state))
            for action in steps.actions(state):
                try:
                    after = steps.act(state, action)
                except BrokenRuleError:
                    found.story = tuple(map(steps.describe, (*seen.story(place), action)))
                    raise
                if seen.add(hash(after), place, names.setdefault(action, action)):
                    frontier.append((pickle.dumps(after), found.depth + 1))
        else:
            found.is_whole = True
    except BrokenRuleError as error:
        found.broken, found.rule = str(error), error.rule
    found.states, found.seconds = len(seen.parents), time.monotonic() - began
    return found


def walk(
    bounds: Bounds,
    seed: int,
    histories: int,
    length: int = 70,
    make: ReplicaFactory = Replica,
    pace: float = 0.6,
) -> SearchResult:
    """So many histories by chance; `pace`: how often what lies in the way of progress is done first."""
    began = time.monotonic()
    steps, found, rng = Steps(bounds, make), SearchResult(), random.Random(seed)
    met: set[int] = set()
    story: list[str] = []
    try:
        first = steps.begin()
        for _ in range(histories):
            state, story = first, []
            fresh: list[str] = []
            for _ in range(length):
                actions = steps.actions(state)
                if not actions:
                    break
                known = set(story)
                fresh = [a for a in actions if a not in known or not a.startswith("deliver")]
                calm = [a for a in fresh if a.split()[0] in ("deliver", "sync", "settle")]
                choice = calm if calm and rng.random() < pace else fresh or actions
                action = rng.choice(choice)
                story.append(action)
                state = steps.act(state, action)
                met.add(hash(state))
                found.outcomes.add(steps.reported(state))
                found.taken_over += any(steps.processes.leads(p) for p in state.processes[1:])
                found.acknowledged += steps.acknowledged(state)
    except BrokenRuleError as error:
        found.broken, found.rule = str(error), error.rule
        found.story = tuple(map(steps.describe, story))
    found.states, found.depth, found.seconds = len(met), length, time.monotonic() - began
    return found
