"""pearrun: serving language models on reclaimable hosts.

The public surface is small: settings, the clock, the error hierarchy
and the typed ids.  Everything else is reached through the daemon
``pearrund`` and the command-line tool ``pearrun``.
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

# Loaded when first used: the settings bring pydantic, which programs on
# the users' platform do not need and pay for in memory.
LAZY = {
    'Settings': 'Settings',
    'TeamTree': 'TeamTree',
    'load_settings': 'load',
}


def __getattr__(name):
    if name not in LAZY:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    return getattr(importlib.import_module('pearrun.api.settings'), LAZY[name])
