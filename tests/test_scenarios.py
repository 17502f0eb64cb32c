"""Runs every scenario in ``tests/scenarios/`` against real processes."""

import pathlib

import pytest

from tests import scenarios
from tests import steps

FILES = sorted(pathlib.Path('tests/scenarios').glob('*.yaml'))


@pytest.mark.parametrize('path', FILES, ids=lambda p: p.stem)
def test_scenario(path, tmp_path):
    scenarios.ScenarioRunner(steps.load_scenario(path), tmp_path).run()
