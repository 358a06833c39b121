"""What every scenario begins and ends with."""

from __future__ import annotations

from typing import Any

from tests.fabric_story import ScenarioRunner


def before_scenario(context: Any, scenario: Any) -> None:
    """A fabric of its own."""
    context.scenario_runner = ScenarioRunner()


def after_scenario(context: Any, scenario: Any) -> None:
    """Nothing that no program caught may be left."""
    context.scenario_runner.end()
