"""Main program of the entry host."""

import gc
import sys

import uvloop

from pearrun import exceptions
from pearrun import logs
from pearrun.platform import settings as settings_module
from pearrun.platform.daemon import Daemon


def run():
    """Read the settings and serve until the stop signal."""
    try:
        settings = settings_module.load()
    except exceptions.SettingsError as exc:
        sys.exit(f'error {exc.code}: {exc.message}')
    writer = logs.configure_stdout(settings.name, settings.zone)
    # Objects created during startup live as long as the process; excluding
    # them from garbage collection makes collections faster.
    gc.freeze()
    uvloop.run(Daemon(settings, writer).run())
