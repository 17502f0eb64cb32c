"""The newest configuration this host has seen."""

from loguru import logger


class ConfigHistory:
    """Holds the configuration in force; its version only grows.

    ``confirmed_ms`` is when the newest version was last known to be
    ours, from the store or from a peer that had read it there.
    ``followed`` says that a read waits at the store for a newer one.
    """

    def __init__(self, clock):
        self.clock = clock
        self.current = None
        self.confirmed_ms = None
        self.listeners = []
        self.followed = False

    @property
    def version(self):
        """The version in force; 0 before the first one."""
        return self.current.version if self.current else 0

    def age_ms(self):
        """Return how long ago the version was confirmed as the newest."""
        if self.confirmed_ms is None:
            return 1 << 40
        return self.clock.since(self.confirmed_ms)

    def confirm(self, at_ms):
        """Note that nothing newer existed at a moment."""
        self.confirmed_ms = max(self.confirmed_ms or 0, at_ms)

    def confirm_alive(self, at_ms):
        """Note that the store answered another read at a moment.

        While a read waits there for a newer version, none existed then.
        """
        if self.followed:
            self.confirm(at_ms)

    def offer(self, config, source):
        """Take a configuration if it is newer than the one in force.

        :param source: ``store`` or the name of a peer.
        :returns: whether it was taken.
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
