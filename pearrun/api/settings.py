"""Settings: a YAML tree, validated when it is loaded.

A settings file has four branches::

    host:      this daemon's name, failure domain and addresses
    platform:  addresses of the platform's log service and cloud API
    endpoints: the engines and plain services this daemon may route to
    teams:     one branch per team: its customers and services

Only ``teams`` is shared by all daemons.  Operators publish it on the log
service with ``pearrun config apply``, and every daemon reads the stream
from the last offset that it has seen.
"""

from typing import Any

import pydantic
import yaml

from pearrun import exceptions
from pearrun.states import BackendKind
from pearrun.states import Priority
from pearrun.states import RoutingKind

DEFAULT_TTFT_MS = 460
DEFAULT_ITL_MS = 77
DEFAULT_TOTAL_MS = 30_000
YAML_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenAddress(_StrictModel):
    """The address that the daemon listens on."""

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)


class IntakeSettings(_StrictModel):
    """Limits of callers' requests and of what they occupy together.

    ``bodies_bytes`` bounds the bodies over 128 KB of all requests that are
    being received or served.
    """

    max_body_bytes: int = pydantic.Field(default=4 * 1024 * 1024, ge=1024)
    header_timeout_ms: int = pydantic.Field(default=10_000, ge=100)
    bodies_bytes: int = pydantic.Field(default=32 * 1024 * 1024, ge=1024)
    max_connections: int = pydantic.Field(default=2000, ge=1)


class HostSettings(_StrictModel):
    """This daemon's name, failure domain, addresses and intervals."""

    name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    listen: ListenAddress
    peers: list[str] = []
    heartbeat_ms: int = pydantic.Field(default=1000, ge=50)
    peer_timeout_ms: int = pydantic.Field(default=3000, ge=100)
    config_poll_ms: int = pydantic.Field(default=500, ge=20)
    hosts_poll_ms: int = pydantic.Field(default=500, ge=20)
    loads_poll_ms: int = pydantic.Field(default=250, ge=20)
    retry_after_s: int = pydantic.Field(default=1, ge=1)
    beat_ms: int = pydantic.Field(default=1000, ge=20)
    members_poll_ms: int = pydantic.Field(default=500, ge=20)
    orphan_beats: int = pydantic.Field(default=4, ge=2)
    accept_wait_ms: int = pydantic.Field(default=300, ge=0)
    stall_ms: int = pydantic.Field(default=5000, ge=100)
    first_token_ms: int = pydantic.Field(default=60_000, ge=100)
    orders_ms: int = pydantic.Field(default=1000, ge=20)
    progress_ms: int = pydantic.Field(default=1000, ge=20)
    save_progress: bool = True
    answer_keep_ms: int = pydantic.Field(default=60_000, ge=100)
    drain_timeout_ms: int = pydantic.Field(default=60_000, ge=0)
    load_polls_per_s: int = pydantic.Field(default=50, ge=1)
    max_load_per_endpoint: int = pydantic.Field(default=512, ge=1)
    move_cache: bool = True
    intake: IntakeSettings = IntakeSettings()


class PlatformSettings(_StrictModel):
    """Addresses and limits of the platform's services."""

    log_url: str
    cloud_url: str | None = None
    config_stream: str = 'config'
    timeout_ms: int = pydantic.Field(default=2000, ge=10)
    appends_per_s: int = pydantic.Field(default=400, ge=1)
    retention_ms: int = pydantic.Field(default=3_600_000, ge=1000)


class EndpointSettings(_StrictModel):
    """One endpoint that this daemon may route requests to."""

    id: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    url: str
    kind: BackendKind = BackendKind.ENGINE
    services: list[str]


class LatencyTargets(_StrictModel):
    """Latency targets of a service.

    ``objective`` is the share of requests that has to meet them, by
    default 95 in 100.
    """

    ttft_ms: int = pydantic.Field(default=DEFAULT_TTFT_MS, ge=1)
    itl_ms: int = pydantic.Field(default=DEFAULT_ITL_MS, ge=1)
    total_ms: int = pydantic.Field(default=DEFAULT_TOTAL_MS, ge=1)
    objective: float = pydantic.Field(default=0.95, gt=0, lt=1)


class ServiceSettings(_StrictModel):
    """A model deployment or plain service that callers request by name."""

    kind: BackendKind = BackendKind.ENGINE
    idempotent: bool = True
    priority: Priority = Priority.NORMAL
    max_tokens: int = pydantic.Field(default=256, ge=1)
    model: str | None = None
    routing: RoutingKind = RoutingKind.AFFINITY
    affinity_slack: int = pydantic.Field(default=4, ge=0)
    affinity_reach: int = pydantic.Field(default=1500, ge=0)
    targets: LatencyTargets = LatencyTargets()

    @pydantic.field_validator('priority', mode='before')
    @classmethod
    def parse_priority(cls, value):
        """Accept a priority by name (``interactive``) or by value."""
        if isinstance(value, str):
            names = [priority.name.lower() for priority in Priority]
            if value.lower() not in names:
                raise ValueError(f'{value!r} is none of {", ".join(names)}')
            return Priority[value.upper()]
        return value


class TeamSettings(_StrictModel):
    """One team's branch: its customers and its services."""

    customers: list[str] = []
    services: dict[str, ServiceSettings] = {}


class TeamTree(_StrictModel):
    """The shared branch of the settings, one sub-branch per team."""

    version: int = pydantic.Field(default=0, ge=0)
    teams: dict[str, TeamSettings]

    @pydantic.model_validator(mode='after')
    def check_unique_names(self):
        """Reject a service or customer that two teams define."""
        seen = {}
        for team, branch in self.teams.items():
            for name in list(branch.services) + list(branch.customers):
                if name in seen and seen[name] != team:
                    raise ValueError(
                        f'{name!r} defined by both {seen[name]!r} and {team!r}'
                    )
                seen[name] = team
        return self

    def find_service(self, name):
        """Return the settings of a service, or ``None``.

        :param name: the service name (the ``model`` field of a request).
        :returns: :class:`ServiceSettings` or ``None``.
        """
        for branch in self.teams.values():
            if name in branch.services:
                return branch.services[name]
        return None

    def has_customer(self, name):
        """Return whether any team lists this customer."""
        return any(name in b.customers for b in self.teams.values())


class Settings(_StrictModel):
    """The complete settings file of one daemon."""

    host: HostSettings
    platform: PlatformSettings
    endpoints: list[EndpointSettings] = []
    teams: dict[str, TeamSettings] = {}
    version: int = pydantic.Field(default=0, ge=0)

    def get_team_tree(self):
        """Return the shared branch as a :class:`TeamTree`."""
        return TeamTree(version=self.version, teams=self.teams)


def _find_line(node, path):
    """Return the 1-based line of ``path`` in a composed YAML node.

    If part of the path does not exist, the line of the part before it.
    """
    line = node.start_mark.line + 1 if node is not None else 0
    for part in path:
        if isinstance(node, yaml.MappingNode):
            match = [v for k, v in node.value if k.value == str(part)]
            if not match:
                keys = [k for k, _ in node.value if k.value == str(part)]
                return keys[0].start_mark.line + 1 if keys else line
            node = match[0]
        elif isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            if part >= len(node.value):
                return line
            node = node.value[part]
        else:
            return line
        line = node.start_mark.line + 1
    return line


def parse_yaml(text, model, source='<settings>'):
    """Parse YAML text and validate it against a settings model.

    :param text: the YAML document.
    :param model: a pydantic model class such as :class:`Settings`.
    :param source: a name for the text, used in error messages.
    :returns: an instance of ``model``.
    :raises SettingsSyntaxError: the text is not YAML (code 1101).
    :raises SettingsValueError: a key is missing or invalid (code 1102);
        the message names the key and its line.
    """
    try:
        node = yaml.compose(text, Loader=YAML_LOADER)
        data: Any = yaml.load(text, Loader=YAML_LOADER)
    except yaml.YAMLError as exc:
        raise exceptions.SettingsSyntaxError(
            f'{source}: not valid YAML: {exc}'
        ) from exc
    if not isinstance(data, dict):
        raise exceptions.SettingsValueError(
            f'{source}: line 1: the document must be a mapping'
        )
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as exc:
        first = exc.errors()[0]
        path = first['loc']
        key = '.'.join(str(p) for p in path) or '<root>'
        line = _find_line(node, path)
        raise exceptions.SettingsValueError(
            f'{source}: line {line}: {key}: {first["msg"]}'
        ) from exc


def load_yaml(path, model):
    """Read a YAML file and validate it against a settings model.

    :param path: path of the file.
    :param model: a pydantic model class such as :class:`Settings`.
    :returns: an instance of ``model``.
    :raises SettingsError: the file cannot be read or is invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except OSError as exc:
        raise exceptions.SettingsError(f'{path}: {exc.strerror}') from exc
    return parse_yaml(text, model, source=str(path))


def load(path):
    """Read and validate a daemon's settings file.

    :param path: path of the YAML file.
    :returns: :class:`Settings`.
    :raises SettingsError: the file cannot be read or is invalid.
    """
    return load_yaml(path, Settings)
