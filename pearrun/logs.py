"""Structured logging through loguru.

Every line has ``process``, ``zone`` and, if known, ``request_id``,
``customer`` and ``service``.  ``--log_format=json`` writes one JSON object
per line.
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
    """Write this process's log to standard error.

    :param process: a short name of the process, such as ``pearrund``.
    :param zone: the failure domain that this process belongs to.
    :param log_format: ``text`` or ``json``.
    :param level: the lowest level that is written.
    :returns: the bound loguru logger.
    """
    logger.remove()
    logger.configure(extra={'process': process, 'zone': zone})
    if log_format == 'json':
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
    return logger


# Maximum rate of lines on standard output; further lines are dropped and
# counted.  A host at four times its usual load handles about 100 calls per
# second and logs one line for each.
MAX_LINES_PER_S = 400
# Lines that may be written in one burst, for example at start-up.
MAX_BURST_LINES = 800
# If more bytes than this wait for the descriptor, new lines are dropped.
MAX_UNWRITTEN_BYTES = 64 * 1024


class BoundedWriter:
    """Writes log lines to a file descriptor without blocking.

    Lines beyond the rate limit (a token bucket), and lines that arrive
    while the buffer is full, are dropped and counted; the count is written
    with the next line.

    :param descriptor: the file descriptor; it is made non-blocking.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self._unwritten = b''
        self._allowance = float(MAX_BURST_LINES)
        self._updated = clock()
        os.set_blocking(descriptor, False)

    def write(self, message):
        """Write a loguru message as a line of JSON."""
        now = self.clock()
        refill = (now - self._updated) * MAX_LINES_PER_S
        self._allowance = min(MAX_BURST_LINES, self._allowance + refill)
        self._updated = now
        if self._allowance < 1:
            self._drop()
            return
        self._allowance -= 1
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._drop()
            return
        self._unwritten += encode_line(message.record, self.dropped)
        self.dropped = 0
        self._flush()

    def _flush(self):
        """Write what the descriptor accepts now; keep the remainder."""
        try:
            written = os.write(self.descriptor, self._unwritten)
        except BlockingIOError:
            return
        self._unwritten = self._unwritten[written:]

    def _drop(self):
        self.dropped += 1
        self.dropped_total += 1


def encode_line(record, dropped):
    """Encode a loguru record as a line of JSON.

    :param dropped: number of lines dropped since the last written one.
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
    """Write this process's log to standard output, as JSON lines.

    :param process: a short name of the process, such as ``pearrund``.
    :param zone: the failure domain that this process belongs to.
    :param level: the lowest level that is written.
    :returns: the :class:`BoundedWriter`.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'process': process, 'zone': zone})
    logger.add(writer.write, level=level, format='{message}')
    return writer
