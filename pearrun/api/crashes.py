"""Jobs under which endpoints crash, and requests refused because of them.

An endpoint keeps its id when it is started again, so a crash is known by the
endpoint and the time.
"""

import asyncio
import urllib.parse

from loguru import logger

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import runs_well
from pearrun.decisions.evidence import select_worst
from pearrun.shared import suspects
from pearrun.shared.crashprobe import is_down
from pearrun.shared.quarantine import Quarantine
from pearrun.states import EndpointState

# Broken jobs of one endpoint within this time are of one crash.
CRASH_WINDOW_MS = 2000
# How long a job waits to know of a crash before it goes on elsewhere.
CRASH_CHECK_WAIT_MS = 50
# Port of an endpoint whose URL names none.
HTTP_PORT = 80
# Suspects in a beat, and crashes whose times are remembered.
MAX_SENT_SUSPECTS = 16
MAX_TRACKED_CRASHES = 256


class JobCrashTracker:
    """Finds crashes under this daemon's jobs; tells and hears of them."""

    def __init__(self):
        self.clock = Clock()
        self.quarantine = Quarantine(self.clock)
        self._crashed_ms = {}
        self._tasks = set()

    def check_request(self, request):
        """Refuse a request under which endpoints crash.

        :param request: a :class:`Job`, or what has its fingerprint.
        :raises QuarantinedError: it is quarantined; it has not run.
        """
        left_ms = self.quarantine.left_ms(request)
        if left_ms:
            self.quarantine.refused += 1
            raise exceptions.QuarantinedError(
                'endpoints crashed under this request', to_seconds(left_ms)
            )

    def check_job(self, job):
        """Give up an accepted job under which endpoints crash.

        :raises CrashedEndpointsError: it is quarantined.
        """
        if self.quarantine.left_ms(job):
            raise exceptions.CrashedEndpointsError(
                'endpoints crashed under this request'
            )

    def note_answered(self, job):
        """Note that an endpoint answered a job."""
        self.quarantine.note_answered(job)

    def check_for_crash(self, job, endpoint, ran_ms, progressed):
        """Begin to find out whether an endpoint crashed under a job.

        :param ran_ms: how long the job ran there.
        :param progressed: whether it got tokens there.
        :returns: the task.
        """
        task = asyncio.create_task(
            self._check(job, endpoint, ran_ms, progressed)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_briefly(self, task):
        """Wait for a check, but not for an endpoint that goes on."""
        await asyncio.wait({task}, timeout=to_seconds(CRASH_CHECK_WAIT_MS))

    async def _check(self, job, endpoint, ran_ms, progressed):
        leaves = endpoint.reclaim_at_ms is not None
        if leaves or endpoint.state is not EndpointState.LIVE:
            return
        url = urllib.parse.urlsplit(endpoint.url)
        if not await is_down(f'{url.hostname}:{url.port or HTTP_PORT}'):
            return
        now = self.clock.now()
        ran_well = runs_well(ran_ms, ran_ms if progressed else 0)
        crash_id = self._make_crash_id(endpoint.id, now)
        crash = Crash(crash_id, now, ran_ms, ran_well)
        self.quarantine.handle_crashes([(job.fingerprint, crash)])

    def describe(self):
        """Return what other daemons are told: JSON-ready."""
        now = self.clock.now()
        wall = self.clock.wall()
        known = self.quarantine.known.suspects.values()
        return [
            suspects.to_fields(item.to_clock(now, wall))
            for item in select_worst(known, MAX_SENT_SUSPECTS)
        ]

    def receive(self, told):
        """Take what another daemon told; malformed suspects are left aside."""
        now = self.clock.now()
        wall = self.clock.wall()
        try:
            known = [suspects.from_fields(item) for item in told]
        except (ValueError, TypeError) as exc:
            logger.warning('suspects left aside', error=str(exc))
            return
        dated = [item.to_clock(wall, now) for item in known]
        self.quarantine.merge(dated, 'beat', forward=False)

    def _make_crash_id(self, endpoint_id, now):
        """Return the name of an endpoint's crash that was noticed now."""
        before_ms = self._crashed_ms.get(endpoint_id)
        if before_ms is None or now - before_ms > CRASH_WINDOW_MS:
            self._crashed_ms.pop(endpoint_id, None)
            self._crashed_ms[endpoint_id] = before_ms = now
        while len(self._crashed_ms) > MAX_TRACKED_CRASHES:
            del self._crashed_ms[next(iter(self._crashed_ms))]
        wall = self.clock.wall() - (now - before_ms)
        return f'{endpoint_id}@{wall // CRASH_WINDOW_MS}'
