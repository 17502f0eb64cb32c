"""pearrun: serving language models on reclaimable hosts.

The public API consists of the settings, the clock, the error hierarchy
and the typed ids.  Everything else is used through the daemon ``pearrund``
and the command-line tool ``pearrun``.
"""

import importlib

from pearrun.clock import Clock
from pearrun.clock import Millis
from pearrun.exceptions import PearrunError

__version__ = '0.1.0'

__all__ = [
    'Clock',
    'Millis',
    'PearrunError',
    'Settings',
    'TeamTree',
    'load_settings',
]

# Names of ``pearrun.api.settings``, which is imported on first use: it needs
# pydantic, which entry hosts do not use and which would cost them memory.
LAZY_IMPORTS = {
    'Settings': 'Settings',
    'TeamTree': 'TeamTree',
    'load_settings': 'load',
}


def __getattr__(name):
    if name not in LAZY_IMPORTS:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    return getattr(
        importlib.import_module('pearrun.api.settings'), LAZY_IMPORTS[name]
    )
