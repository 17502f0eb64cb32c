"""Where hosts' reports come together."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.prompts import PromptPart

# Windows of usage in each report; the last ones may still change.
REPORTED_WINDOWS = 3
# Time between reports without news: placement by a load that is older
# than this sends several calls to one endpoint; at five a second a host
# spends about 2% of a core on nine hosts' reports.
REPORT_MS = 200


class ReportBoard:
    """Makes this host's reports and takes the others'.

    :param host: shared objects of this host.
    :param started_ms: when this host started.
    :param decode_configuration: decodes a copy of the configuration.
    """

    def __init__(self, host, started_ms, decode_configuration):
        self.host = host
        self.started_ms = started_ms
        self.decode_configuration = decode_configuration
        self.versions = {}
        self.duty_notice = lambda: None
        self.duty_heard = {}
        self._encoded = b''
        self._made = asyncio.Event()
        self._news = asyncio.Event()

    async def run(self):
        """Make reports for the process's whole life.

        Each report goes to all links, so that what is said only once,
        such as prompts just placed, reaches every host.
        """
        while True:
            await self._wait_for_news()
            self._news.clear()
            self._encoded = reports.encode(self._make())
            self._made.set()
            self._made = asyncio.Event()

    def tell_at_once(self):
        """Have the next report made now."""
        self._news.set()

    async def next_report(self):
        """Return the next report, encoded, once it is made."""
        await self._made.wait()
        return self._encoded

    async def _wait_for_news(self):
        try:
            async with asyncio.timeout(to_seconds(REPORT_MS)):
                await self._news.wait()
        except TimeoutError:
            return

    def _make(self):
        host = self.host
        host.board.put(host.settings.name, self.started_ms, host.usage.windows)
        loads = {
            endpoint.id: Load(endpoint.calls, endpoint.reading_tokens)
            for endpoint in host.fleet.endpoints.values()
            if endpoint.calls
        }
        windows = sorted(host.usage.windows)[-REPORTED_WINDOWS:]
        return reports.HostReport(
            host=host.settings.name,
            started_ms=self.started_ms,
            wall_ms=host.clock.wall(),
            config_version=host.config.version,
            config_age_ms=host.config.age_ms(),
            loads=loads,
            admitted=host.quotas.report(),
            usage={window: host.usage.windows[window] for window in windows},
            placed=host.selection.take_placed(),
            duty=self.duty_notice(),
        )

    def take(self, message):
        """Take a message from a peer."""
        match message:
            case reports.HostReport():
                self._take_report(message)
            case reports.ConfigCopy(name, raw):
                self._take_config(name, raw)

    def _take_report(self, report):
        host = self.host
        host.members.note_heard(report.host)
        host.loads.put(report.host, report.loads)
        run = (report.host, report.started_ms)
        host.quotas.put_report(run, report.admitted)
        host.time.put_report(report.host, report.wall_ms)
        host.board.put(report.host, report.started_ms, report.usage)
        self.versions[report.host] = report.config_version
        now = host.clock.now()
        if report.config_version == host.config.version:
            host.config.confirm(now - report.config_age_ms)
        if report.duty is not None:
            self.duty_heard[report.host] = (now, report.duty)
        for endpoint_id, part_ids in report.placed:
            parts = [PromptPart(part_id, 0) for part_id in part_ids]
            host.selection.prefixes.note(endpoint_id, parts, now)

    def _take_config(self, name, raw):
        try:
            config = self.decode_configuration(raw)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code, peer=name).error(exc.message)
            return
        self.host.config.offer(config, name)

    def config_version(self, name):
        """Return the configuration a peer last reported, or ``None``."""
        return self.versions.get(name)

    def heard_duty_ms(self):
        """Return when a valid holder of the lease was last heard of."""
        return max(
            (heard_ms for heard_ms, _ in self.duty_heard.values()),
            default=None,
        )

    def forget(self, name):
        """Drop what a host reported: its process has ended."""
        self.host.members.heard.discard(name)
        self.host.loads.remove(name)
        self.host.quotas.remove(name)
        self.host.time.remove(name)
        self.versions.pop(name, None)
        self.duty_heard.pop(name, None)
