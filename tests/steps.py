"""The steps of scripted scenarios, as their YAML files give them."""

import pydantic
import yaml


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class Send(_Model):
    """Send requests ``<name>-<n>``; ``stream`` and ``whole`` stay open."""

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
    """Announce a zone's reclaim; ``kill_after_ms`` kills its hosts."""

    zone: str
    notice_ms: int = 3000
    kill_after_ms: int | None = None


class Answer(_Model):
    """Fetch the answers of ``<of>-*`` at a host; they must be whole."""

    of: str
    at: str | None = None
    timeout_s: float = 30


class Follow(_Model):
    """Open streams of ``<of>-*`` by id at another host, and read on."""

    of: str
    at: str


class Cancel(_Model):
    """Cancel ``<of>-0``; it must say ``not_run`` as given."""

    of: str
    at: str
    not_run: bool


class Executions(_Model):
    """How often a key's calls ran at all plain services together."""

    key: str
    exactly: int | None = None
    at_most: int | None = None


class NeverStarted(_Model):
    """No engine ever began any of ``<of>-*`` that was not accepted."""

    of: str


class Drain(_Model):
    """Drain an endpoint with the CLI."""

    endpoint: str


class NoNewWork(_Model):
    """An endpoint gets no new streams from now on, for a while."""

    endpoint: str
    for_ms: int = 1000


class Links(_Model):
    """Set a daemon's links to the platform and its peers."""

    daemon: str
    mode: str


class Apply(_Model):
    """Publish a configuration with one more customer."""

    customer: str


class InForce(_Model):
    """A daemon has at least this version, within ``timeout_s``."""

    daemon: str
    version: int
    timeout_s: float = 10


class Step(_Model):
    """One step: exactly one of its fields is given."""

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
    """A whole scenario file."""

    title: str
    zones: dict[str, dict]
    engine: list[str] = []
    host: dict = {}
    log: list[str] = []
    links: bool = False
    platform: dict = {}
    steps: list[Step]


def load(path):
    """Read and check a scenario file."""
    with open(path, encoding='utf-8') as handle:
        return Scenario.model_validate(yaml.safe_load(handle))
