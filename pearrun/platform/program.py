"""The entry host's program, from its settings file to its end."""

import gc
import sys

import uvloop

from pearrun import exceptions
from pearrun import logs
from pearrun.platform import settings as settings_module
from pearrun.platform.daemon import Daemon


def run():
    """Read the settings and serve until told to stop."""
    try:
        settings = settings_module.load()
    except exceptions.SettingsError as exc:
        sys.exit(f'error {exc.code}: {exc.message}')
    writer = logs.configure_stdout(settings.name, settings.zone)
    # Nothing loaded at the start becomes garbage; leaving it out of the
    # collector's passes saves their time.
    gc.freeze()
    uvloop.run(Daemon(settings, writer).run())
