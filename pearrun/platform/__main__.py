"""Starts the entry host's program: ``python3 -m pearrun.platform``."""

import gc
import sys

import uvloop

from pearrun import exceptions
from pearrun import logs
from pearrun.platform import settings as settings_module
from pearrun.platform.daemon import Daemon


def main():
    """Read the settings and run until told to stop."""
    try:
        settings = settings_module.load()
    except exceptions.SettingsError as exc:
        sys.exit(f'error {exc.code}: {exc.message}')
    writer = logs.configure_stdout(settings.name, settings.zone)
    # Nothing loaded at the start becomes garbage; leaving it out of the
    # collector's passes saves their time.
    gc.freeze()
    uvloop.run(Daemon(settings, writer).run())


if __name__ == '__main__':
    main()
