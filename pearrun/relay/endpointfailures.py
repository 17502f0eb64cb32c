"""Failures of endpoints as met by calls, and who has to know of them.

Other hosts and the crash detector hear of a failure once it is known that
this host's own paths are not the reason.
"""

import dataclasses

from pearrun import exceptions


class EndpointFailures:
    """Records failed calls at this host and reports them.

    :param host: the :class:`HostContext`.
    """

    def __init__(self, host):
        self.host = host

    def is_retiring(self, endpoint):
        """Return whether a completing roll-out stops an endpoint."""
        return self.host.rollouts.is_retiring(endpoint.record)

    def is_path_suspect(self, endpoint):
        """Return whether this host's paths may have failed instead."""
        return self.host.reachability.is_suspect(endpoint.record.service)

    def note_failure(self, endpoint, refused=False, silent=False):
        """Record a failed call, and avoid the endpoint if necessary.

        :param refused: whether no connection was established.
        :param silent: whether the endpoint did not respond at all.
        """
        pause_ms = self.host.selection.note_failure(endpoint, refused, silent)
        if pause_ms:
            self.host.log_avoided(endpoint, pause_ms)

    def note_unreachable(self, endpoint, error):
        """Record that no connection to an endpoint was opened.

        :param error: the :class:`EndpointUnreachableError`.
        """
        match error:
            case exceptions.NoPathError():
                return
            case exceptions.EndpointSilentError():
                self.note_failure(endpoint, refused=True, silent=True)
                self._report(endpoint, self._report_silence)
            case exceptions.EndpointDownError():
                self.note_failure(endpoint, refused=True)
                self._report(endpoint, self._report_down)
            case _:
                self.note_failure(endpoint, refused=True)
                self._report(endpoint, self._report_broken_path)

    def note_silence(self, endpoint):
        """Record that an endpoint does not respond on a connection."""
        self.note_failure(endpoint, silent=True)
        # The idle connections to this endpoint may be dead as well, and each
        # could cost a call that must not be retried.
        self.host.pools.close_idle(endpoint.id)
        self.host.reachability.note_unreached(endpoint.record)
        self._report(endpoint, self._report_silence)

    def note_broken(self, endpoint, broken, forwarding):
        """Record that an endpoint closed or reset a connection in use.

        :param broken: the :class:`BrokenCall`.
        :param forwarding: whether part of the response was received.
        """
        self.note_failure(endpoint)

        def report(endpoint):
            if not forwarding:
                self._report_broken_path(endpoint)
            self._report_broken_call(endpoint, broken)

        self._report(endpoint, report)

    def _report(self, endpoint, report):
        """Call a function with the endpoint unless own paths have failed."""
        self.host.reachability.report_unless_lost(
            endpoint.record.service, lambda: report(endpoint)
        )

    def _report_silence(self, endpoint):
        self.host.paths.note_silent(endpoint.record)

    def _report_broken_path(self, endpoint):
        if not self.is_retiring(endpoint):
            self.host.paths.note_broken(endpoint.record)

    def _report_down(self, endpoint):
        self._report_broken_path(endpoint)
        if self._may_be_a_crash(endpoint):
            self.host.crashes.note_down(endpoint.id)

    def _report_broken_call(self, endpoint, broken):
        """Report a call that may have crashed the endpoint.

        Brittle endpoints crash because of their load, so that a request is not
        held responsible; a prompt part that was never answered still is.
        """
        if self._is_brittle(endpoint):
            broken = dataclasses.replace(broken, fingerprint=None)
        if broken.fingerprints and not self.is_retiring(endpoint):
            self.host.crash_probe.note_broken(endpoint, broken)

    def _may_be_a_crash(self, endpoint):
        """Return whether an endpoint that is down may have crashed."""
        return not self._is_brittle(endpoint) and not self.is_retiring(
            endpoint
        )

    def _is_brittle(self, endpoint):
        return self.host.brittle.is_brittle(endpoint.record.service)
