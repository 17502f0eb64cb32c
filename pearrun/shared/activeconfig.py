"""The newest configuration that this host has received."""

from loguru import logger


class ActiveConfig:
    """Holds the configuration in force; its version only increases.

    ``confirmed_ms`` is the last time at which this version was known to be
    the newest, from the store or from a peer that had read it there.
    ``listeners`` are called with each configuration that is adopted, and
    ``handle_newer_version`` when a peer reports a newer version.
    """

    def __init__(self, clock):
        self.clock = clock
        self.current = None
        self.confirmed_ms = None
        self.listeners = []
        self.handle_newer_version = lambda: None

    @property
    def version(self):
        """The version in force; 0 before any was received."""
        return self.current.version if self.current else 0

    def age_ms(self):
        """Return the time since this version was confirmed as the newest.

        :returns: milliseconds; a very large number if it never was.
        """
        if self.confirmed_ms is None:
            return 1 << 40
        return self.clock.since(self.confirmed_ms)

    def confirm(self, at_ms):
        """Record that no newer version existed at a given time."""
        self.confirmed_ms = max(self.confirmed_ms or 0, at_ms)

    def note_reported(self, version):
        """Note the version that a peer has in force."""
        if version > self.version:
            self.handle_newer_version()

    def offer(self, config, source):
        """Adopt a configuration if it is newer than the one in force.

        :param source: ``store`` or the name of a peer.
        :returns: whether it was adopted.
        """
        if config.version <= self.version:
            return False
        previous = self.version
        self.current = config
        logger.bind(
            version=config.version,
            previous=previous,
            source=source,
            limits={
                customer.name: (customer.rate_per_s, customer.burst)
                for customer in config.customers.values()
            },
        ).info('configuration in force')
        for listener in self.listeners:
            listener(config)
        return True
