"""Schema of the scenario files in ``tests/scenarios/``.

The names of the fields are the keys of the YAML files.
"""

import pydantic
import yaml


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class Send(_Model):
    """Send ``count`` requests to a daemon.

    :param name: the name by which later steps refer to these requests.
    :param to: the daemon's name.
    :param words: words of the prompt.
    :param tokens: largest number of tokens of the answer.
    :param key: the idempotency key.
    :param how: ``async`` waits until the request is accepted; ``stream`` and
        ``whole`` read the response in the background, as a stream or at once.
    :param refused: error code that must refuse each request.
    """

    name: str
    to: str
    service: str = 'pearrun-oficina'
    words: int = 20
    tokens: int = 16
    count: int = 1
    key: str | None = None
    how: str = 'async'
    refused: int | None = None


class Signal(_Model):
    """Send a signal to a process."""

    process: str
    name: str


class Reclaim(_Model):
    """Announce that a zone is reclaimed.

    :param notice_ms: time from the notice to the announced end.
    :param kill_after_ms: time until all processes of the zone are killed;
        ``None`` to let them run.
    """

    zone: str
    notice_ms: int = 3000
    kill_after_ms: int | None = None


class Answer(_Model):
    """Check that requests have the complete, correct answer.

    :param of: the name of the requests, as in :class:`Send`.
    :param at: the daemon that the answer is fetched from by request id; by
        default the response to the request itself is checked.
    """

    of: str
    at: str | None = None
    timeout_s: float = 30


class Follow(_Model):
    """Read the streams of requests ``of`` by id at another daemon."""

    of: str
    at: str


class Cancel(_Model):
    """Cancel the first request ``of``; the error must have ``not_run``."""

    of: str
    at: str
    not_run: bool


class Executions(_Model):
    """Check how often a key's requests ran, over all plain services."""

    key: str
    exactly: int | None = None
    at_most: int | None = None


class NeverStarted(_Model):
    """Check that no engine has started one of the requests ``of``."""

    of: str


class Drain(_Model):
    """Drain an endpoint with the CLI."""

    endpoint: str


class NoNewWork(_Model):
    """Check that an endpoint receives no new requests for ``for_ms``."""

    endpoint: str
    for_ms: int = 1000


class Links(_Model):
    """Set the mode of all network links of a daemon.

    :param mode: a value of :class:`pearrun.standins.link.LinkMode`.
    """

    daemon: str
    mode: str


class Apply(_Model):
    """Publish a configuration with one more customer."""

    customer: str


class InForce(_Model):
    """Wait until a daemon has a configuration version or a newer one."""

    daemon: str
    version: int
    timeout_s: float = 10


class Step(_Model):
    """One step; exactly one of its fields must be set.

    :param wait_ms: time to sleep.
    :param restart: process to restart after it has ended.
    :param log_fault: body of ``POST /admin/faults`` of the log stand-in.
    """

    send: Send | None = None
    wait_ms: int | None = None
    signal: Signal | None = None
    restart: str | None = None
    reclaim: Reclaim | None = None
    log_fault: dict | None = None
    answer: Answer | None = None
    follow: Follow | None = None
    cancel: Cancel | None = None
    executions: Executions | None = None
    never_started: NeverStarted | None = None
    drain: Drain | None = None
    no_new_work: NoNewWork | None = None
    links: Links | None = None
    apply: Apply | None = None
    in_force: InForce | None = None


class Scenario(_Model):
    """A scenario file.

    :param zones: fields of :class:`tests.cluster.Zone`, by zone.
    :param engine: extra flags of the engine stand-ins.
    :param host: ``host`` settings of the daemons.
    :param log: extra flags of the log service stand-in.
    :param links: whether the daemons' connections pass through links.
    :param platform: ``platform`` settings of the daemons.
    """

    title: str
    zones: dict[str, dict]
    engine: list[str] = []
    host: dict = {}
    log: list[str] = []
    links: bool = False
    platform: dict = {}
    steps: list[Step]


def load_scenario(path):
    """Read and validate a scenario file."""
    with open(path, encoding='utf-8') as handle:
        return Scenario.model_validate(yaml.safe_load(handle))
