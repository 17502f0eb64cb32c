"""Detection of jobs that crash endpoints, and refusal of their requests.

An endpoint keeps its id across restarts, so a crash is identified by the
endpoint and the time.
"""

import asyncio
import urllib.parse

from loguru import logger

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import is_call_stable
from pearrun.decisions.evidence import select_most_suspect
from pearrun.shared import suspects
from pearrun.shared.crashprobe import is_down
from pearrun.shared.quarantine import Quarantine
from pearrun.states import EndpointState

# Jobs that fail on one endpoint within this time count as one crash.
CRASH_WINDOW_MS = 2000
# How long a failed job waits for the crash check before it is retried on
# another endpoint.
CRASH_CHECK_WAIT_MS = 50
# Port of an endpoint whose URL has none.
HTTP_PORT = 80
# Maximum number of suspects in one heartbeat, and of crash times kept.
MAX_SENT_SUSPECTS = 16
MAX_TRACKED_CRASHES = 256


class JobCrashTracker:
    """Detects endpoint crashes during this daemon's jobs; shares suspects.

    A suspect is a request that is suspected of crashing endpoints, since
    endpoints crashed while they ran it.
    """

    def __init__(self):
        self.clock = Clock()
        self.quarantine = Quarantine(self.clock)
        self._crashed_ms = {}
        self._tasks = set()

    def check_request(self, request):
        """Refuse a request that is quarantined.

        :param request: a :class:`Job`, or another object with its
            ``fingerprint``.
        :raises QuarantinedError: endpoints crashed while they ran an
            identical request; this one has not run.
        """
        left_ms = self.quarantine.left_ms(request)
        if left_ms:
            self.quarantine.refused += 1
            raise exceptions.QuarantinedError(
                'endpoints crashed under this request', to_seconds(left_ms)
            )

    def check_job(self, job):
        """Raise an error if an accepted job's request is quarantined.

        :raises CrashedEndpointsError: endpoints crashed while they ran
            the request.
        """
        if self.quarantine.left_ms(job):
            raise exceptions.CrashedEndpointsError(
                'endpoints crashed under this request'
            )

    def note_answered(self, job):
        """Record that an endpoint answered a job and did not crash."""
        self.quarantine.note_answered(job)

    def check_for_crash(self, job, endpoint, ran_ms, progressed):
        """Start checking whether an endpoint crashed while it ran a job.

        :param ran_ms: how long the job ran on the endpoint.
        :param progressed: whether the job received tokens from it.
        :returns: the task of the check.
        """
        task = asyncio.create_task(
            self._check(job, endpoint, ran_ms, progressed)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_briefly(self, task):
        """Wait for a check, for at most :data:`CRASH_CHECK_WAIT_MS`."""
        await asyncio.wait({task}, timeout=to_seconds(CRASH_CHECK_WAIT_MS))

    async def _check(self, job, endpoint, ran_ms, progressed):
        is_leaving = endpoint.reclaim_at_ms is not None
        if is_leaving or endpoint.state is not EndpointState.LIVE:
            return
        url = urllib.parse.urlsplit(endpoint.url)
        if not await is_down(f'{url.hostname}:{url.port or HTTP_PORT}'):
            return
        now = self.clock.now()
        call_was_stable = is_call_stable(ran_ms, ran_ms if progressed else 0)
        crash_id = self._make_crash_id(endpoint.id, now)
        crash = Crash(crash_id, now, ran_ms, call_was_stable)
        self.quarantine.handle_crashes([(job.fingerprint, crash)])

    def describe(self):
        """Return the suspects to send to other daemons, JSON-serializable."""
        now = self.clock.now()
        wall = self.clock.wall()
        known = self.quarantine.known.suspects.values()
        return [
            suspects.to_fields(item.to_clock(now, wall))
            for item in select_most_suspect(known, MAX_SENT_SUSPECTS)
        ]

    def receive(self, fields):
        """Merge another daemon's suspects.

        If any of them is malformed, all are ignored.
        """
        now = self.clock.now()
        wall = self.clock.wall()
        try:
            known = [suspects.from_fields(item) for item in fields]
        except (ValueError, TypeError) as exc:
            logger.warning('malformed suspects ignored', error=str(exc))
            return
        local_suspects = [item.to_clock(wall, now) for item in known]
        self.quarantine.merge(local_suspects, 'beat', forward=False)

    def _make_crash_id(self, endpoint_id, now):
        """Return the id of an endpoint's crash that was detected now.

        Detections within :data:`CRASH_WINDOW_MS` get the same id.
        """
        first_noticed_ms = self._crashed_ms.get(endpoint_id)
        if (
            first_noticed_ms is None
            or now - first_noticed_ms > CRASH_WINDOW_MS
        ):
            self._crashed_ms.pop(endpoint_id, None)
            self._crashed_ms[endpoint_id] = first_noticed_ms = now
        while len(self._crashed_ms) > MAX_TRACKED_CRASHES:
            del self._crashed_ms[next(iter(self._crashed_ms))]
        wall = self.clock.wall() - (now - first_noticed_ms)
        return f'{endpoint_id}@{wall // CRASH_WINDOW_MS}'
