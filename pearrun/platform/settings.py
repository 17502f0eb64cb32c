"""Settings that the platform writes to a file for each process."""

import dataclasses
import os
import tomllib

from pearrun import exceptions
from pearrun.decisions.quota import QuotaSettings
from pearrun.decisions.rollout import RolloutSettings
from pearrun.ids import HostName
from pearrun.ids import ZoneName

# Heartbeat interval of endpoints if the settings file has none.
DEFAULT_HEARTBEAT_MS = 1200

PATH_ENV_VARIABLE = 'PEARRUN_BOOT'


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Settings of the platform's store.

    :param address: ``IP:PORT`` of the store.
    """

    address: str


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """Settings of the platform API that the duties call.

    :param address: ``IP:PORT`` of the API.
    :param names: the duties that this deployment performs.
    """

    address: str
    names: frozenset[str]


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Retry budget of a service, for all hosts together.

    The number of retries in any window must not exceed ``ratio`` times the
    number of calls, plus ``slack``.
    """

    ratio: float
    slack: float
    window_ms: int


@dataclasses.dataclass(frozen=True)
class UsageSettings:
    """Settings of the usage report, whose windows follow the wall clock.

    :param due_ms: time after a window's end by which its report is due.
    """

    window_ms: int
    due_ms: int


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """All settings of one entry host.

    :param front_address: ``IP:PORT`` on which callers' requests are served.
    :param ready_address: ``IP:PORT`` on which readiness checks are served.
    :param first_port: first port of the host's range, on which it accepts
        links from other hosts.
    :param duties: ``None`` if this deployment performs no duties.
    :param link_mbps: bandwidth of its network link in megabits per second.
    :param memory_mb: memory of its process in MB; 0 if unknown.
    :param descriptors: descriptors of its process; 0 if unknown.
    :param shutdown_ms: milliseconds from the stop signal until the platform
        kills the process.
    :param drain_ms: milliseconds during which a draining endpoint still
        serves.
    :param config_ms: milliseconds within which a new configuration must be
        in force.
    :param lease_ms: milliseconds within which the duties must not alternate
        between two holders.
    :param heartbeat_ms: milliseconds between an endpoint's heartbeats.
    :param rollout: limits of the roll-outs of new versions.
    """

    name: HostName
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    ip: str
    front_address: str
    ready_address: str
    first_port: int
    last_port: int
    store: StoreSettings
    duties: DutySettings | None
    retry: RetrySettings
    usage: UsageSettings
    quota: QuotaSettings
    link_mbps: float
    memory_mb: int
    descriptors: int
    shutdown_ms: int
    drain_ms: int
    config_ms: int
    lease_ms: int
    heartbeat_ms: int
    rollout: RolloutSettings


def load(path=None):
    """Read and check the settings file.

    :param path: the file; by default the one named by the environment
        variable ``PEARRUN_BOOT``.
    :returns: :class:`HostSettings`.
    :raises SettingsSyntaxError: the file cannot be read or parsed.
    :raises SettingsValueError: a field is missing or has an invalid value.
    """
    path = path or os.environ.get(PATH_ENV_VARIABLE, '/etc/pearrun/boot.toml')
    try:
        with open(path, 'rb') as source:
            fields = tomllib.load(source)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise exceptions.SettingsSyntaxError(f'{path}: {exc}') from exc
    try:
        return decode(fields)
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise exceptions.SettingsValueError(
            f'{path}: {type(exc).__name__}: {exc}'
        ) from exc


def decode(fields):
    """Decode the fields of a settings file into :class:`HostSettings`."""
    bounds = fields.get('bounds', {})
    limits = fields.get('limits', {})
    listen = fields['listen']
    first_port, last_port = fields['port_range']
    return HostSettings(
        name=HostName(fields['node']),
        zone=ZoneName(fields['zone']),
        zones=tuple(fields.get('zones') or (fields['zone'],)),
        ip=str(fields['ip']),
        front_address=str(listen['front']),
        ready_address=str(listen['ready_addr']),
        first_port=int(first_port),
        last_port=int(last_port),
        store=decode_store(fields['platform']),
        duties=decode_duties(fields.get('cloud')),
        retry=RetrySettings(
            ratio=float(bounds.get('budget_ratio', 0.2)),
            slack=float(bounds.get('budget_slack', 20)),
            window_ms=int(bounds.get('budget_window_s', 10) * 1000),
        ),
        usage=UsageSettings(
            window_ms=int(bounds.get('window_s', 5) * 1000),
            due_ms=int(bounds.get('usage_late_s', 10) * 1000),
        ),
        quota=QuotaSettings(
            window_s=float(bounds.get('quota_window_s', 8)),
            over=float(bounds.get('quota_over', 0)),
            slack=float(bounds.get('quota_slack', 0)),
        ),
        link_mbps=float(limits.get('link_mbps', 0)),
        memory_mb=int(limits.get('memory_mb', 0)),
        descriptors=int(limits.get('max_fds', 0)),
        shutdown_ms=int(bounds.get('grace_s', 8) * 1000),
        drain_ms=int(bounds.get('drain_ms', 2000)),
        config_ms=int(bounds.get('config_ms', 2000)),
        lease_ms=int(bounds.get('lease_ms', 3000)),
        heartbeat_ms=int(fields.get('beat_ms', DEFAULT_HEARTBEAT_MS)),
        rollout=decode_rollout(fields.get('contracts'), bounds),
    )


def decode_rollout(contracts, bounds):
    """Decode the limits of roll-outs.

    :param contracts: what the deployment offers; ``None`` if unknown.
    :raises ValueError: the share is not a fraction.
    """
    defaults = RolloutSettings()
    share = float(bounds.get('expose_share', defaults.exposed_share))
    if not 0 <= share <= 1:
        raise ValueError(f'expose_share is not a fraction: {share}')
    return RolloutSettings(
        enabled=contracts is None or 'rollout' in contracts,
        exposed_share=share,
        exposed_slack=float(bounds.get('expose_slack', 0)),
        smallest_canary_share=min(defaults.smallest_canary_share, share / 4),
        largest_canary_share=min(defaults.largest_canary_share, share / 3),
    )


def decode_store(fields):
    """Decode the section of the platform's store."""
    return StoreSettings(address=str(fields['addr']))


def decode_duties(fields):
    """Decode the section of the duties; ``None`` if it is missing."""
    if not fields:
        return None
    return DutySettings(
        address=str(fields['addr']),
        names=frozenset(fields.get('duties', ())),
    )
