"""Benchmarks that start processes of their own."""

import pathlib

from benchmarks import relay


def test_relay_benchmark_starts_a_program_that_exists():
    # It started a module that had been removed.
    root = pathlib.Path(__file__).parent.parent
    assert (root / relay.HOST_PROGRAM).is_file()
