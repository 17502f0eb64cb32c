"""Builders of host reports for tests."""

import dataclasses

from pearrun.shared import reports


def make_report(run, number, **fields):
    """Return a report that is empty except for ``fields``."""
    report = reports.HostReport(
        run=run,
        number=number,
        hosts=1,
        wall_ms=0,
        config_version=1,
        config_age_ms=0,
        loads={},
        admitted={},
    )
    return dataclasses.replace(report, **fields)
