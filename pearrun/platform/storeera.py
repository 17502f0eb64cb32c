"""The era of the store: how often it has come back from a copy."""

import re

from loguru import logger

from pearrun import positions

ERA_FORMAT = re.compile('[0-9]{1,10}')
# Invalid values are cut to this length in the log.
MAX_LOGGED_CHARS = 40


class EraTracker:
    """Follows the eras that the store's responses name.

    A store that names none is in era 0.

    :param max_in_flight: number of calls that can be in flight.  After as many
        responses of one earlier era in a row, the later one was an error.

    ``latest`` is the latest era; ``None`` before the first response.
    """

    def __init__(self, max_in_flight):
        self.max_in_flight = max_in_flight
        self.latest = None
        self._outdated = 0
        self._invalid = None

    def note(self, value):
        """Record the era that a response names.

        :param value: the header's value; ``None`` if there is none.
        :returns: the era; the latest one if the response names no valid one.
        """
        era = self._parse(value)
        if era == self.latest:
            self._outdated = 0
            return era
        logger.bind(era=era, previous=self.latest).warning('store era changed')
        if self.latest is not None and era < self.latest:
            self._outdated += 1
            if self._outdated <= self.max_in_flight:
                return era
        self._outdated = 0
        self.latest = era
        return era

    def _parse(self, value):
        latest = self.latest or 0
        if value is None:
            return latest
        if ERA_FORMAT.fullmatch(value) and int(value) <= positions.MAX_ERA:
            return int(value)
        if value != self._invalid:
            self._invalid = value
            logger.bind(value=value[:MAX_LOGGED_CHARS]).error(
                'invalid store era ignored'
            )
        return latest
