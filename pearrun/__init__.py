"""pearrun: serving language models on reclaimable hosts.

The public surface is small: settings, the clock, the error hierarchy
and the typed ids.  Everything else is reached through the daemon
``pearrund`` and the command-line tool ``pearrun``.
"""

from pearrun.clock import Clock
from pearrun.clock import Millis
from pearrun.exceptions import PearrunError
from pearrun.settings import load as load_settings
from pearrun.settings import Settings
from pearrun.settings import TeamTree

__version__ = '0.1.0'

__all__ = [
    'Clock',
    'Millis',
    'PearrunError',
    'Settings',
    'TeamTree',
    'load_settings',
]
