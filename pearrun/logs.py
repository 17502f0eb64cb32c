"""Structured logging through loguru.

Every line carries ``zone`` and, where known, ``request_id``,
``customer`` and ``service``.  ``--log_format=json`` writes one JSON
object per line.
"""

import json
import os
import sys
import time

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


# Most lines a second on standard output.  A host at four times its usual
# load decides some 100 calls a second; what comes beyond is counted.
LINES_PER_S = 400
# Lines that may come at once, such as at a start.
BURST_LINES = 800
# Bytes kept while the descriptor does not take them.
UNWRITTEN_BYTES = 64 * 1024


class BoundedWriter:
    """Writes log lines to a descriptor without ever blocking on it.

    Lines beyond the rate, and lines the descriptor does not take, are
    dropped and counted; the count is written with the next line.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self._unwritten = b''
        self._allowance = float(BURST_LINES)
        self._updated = clock()
        os.set_blocking(descriptor, False)

    def write(self, message):
        """Write one loguru message as a line of JSON."""
        now = self.clock()
        earned = (now - self._updated) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._updated = now
        if self._allowance < 1:
            self._drop()
            return
        self._allowance -= 1
        if len(self._unwritten) > UNWRITTEN_BYTES:
            self._drop()
            return
        self._unwritten += to_line(message.record, self.dropped)
        self.dropped = 0
        self._flush()

    def _flush(self):
        """Write what the descriptor takes now; keep the rest in order."""
        try:
            written = os.write(self.descriptor, self._unwritten)
        except BlockingIOError:
            return
        self._unwritten = self._unwritten[written:]

    def _drop(self):
        self.dropped += 1
        self.dropped_total += 1


def to_line(record, dropped):
    """Encode a loguru record as a line of JSON.

    :param dropped: lines dropped since the last one written.
    """
    fields = {
        'at': record['time'].timestamp(),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    if dropped:
        fields['dropped_lines'] = dropped
    return (json.dumps(fields, default=str) + '\n').encode()


def configure_stdout(process, zone, level='INFO'):
    """Send this process's log lines to standard output, bounded.

    :returns: the :class:`BoundedWriter`.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'process': process, 'zone': zone})
    logger.add(writer.write, level=level, format='{message}')
    return writer
