"""Structured logging through loguru.

Every line carries ``zone`` and, where known, ``request_id``,
``customer`` and ``service``.  ``--log_format=json`` writes one JSON
object per line.
"""

import sys

from loguru import logger

TEXT_FORMAT = (
    '{time:HH:mm:ss.SSS} {level: <7} {extra[process]} '
    '{extra[zone]} {message} {extra}'
)


def configure(process, zone='-', log_format='text', level='INFO'):
    """Send this process's log lines to standard error.

    :param process: a short name of the process, such as ``pearrund``.
    :param zone: the failure domain this process belongs to.
    :param log_format: ``text`` or ``json``.
    :param level: the lowest level written.
    :returns: the bound loguru logger.
    """
    logger.remove()
    logger.configure(extra={'process': process, 'zone': zone})
    if log_format == 'json':
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
    return logger
