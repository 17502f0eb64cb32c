"""The bench file: hosts, prices, arrivals, request kinds and faults."""

import ipaddress
import urllib.parse

import pydantic

from pearrun.api import settings as settings_module
from pearrun.api.settings import RoutingKind

MAX_REQUESTS = 20_000
MAX_SECONDS = 900


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def check_loopback(url):
    """Reject a URL whose host is not a loopback address.

    :returns: the URL.
    :raises ValueError: its host is not on this machine.
    """
    host = urllib.parse.urlsplit(url).hostname or ''
    if host != 'localhost' and not ipaddress.ip_address(host).is_loopback:
        raise ValueError(
            f'{url} is not on a loopback address, 127.0.0.0/8 or [::1]'
        )
    return url


class HostPlan(_Strict):
    """A host whose running time has a cost."""

    id: str
    zone: str
    machine: str = 'standard'
    reclaimable: bool = True
    url: str

    _check = pydantic.field_validator('url')(check_loopback)


class Price(_Strict):
    """The hourly price of a machine class in a zone."""

    zone: str
    machine: str = 'standard'
    reclaimable: bool = True
    per_hour: float = pydantic.Field(ge=0)


class ArrivalPlan(_Strict):
    """Number and distribution of a round's requests over time.

    The share ``burst_share`` of the ``requests`` arrives in a burst
    during the first ``burst_s`` seconds, most of them near its start,
    as in the first seconds of a live show.  The others are distributed
    evenly over ``round_s``.
    """

    requests: int = pydantic.Field(default=200, ge=1, le=MAX_REQUESTS)
    round_s: float = pydantic.Field(default=20, gt=0, le=MAX_SECONDS)
    burst_s: float = pydantic.Field(default=4, gt=0)
    burst_share: float = pydantic.Field(default=0.9, ge=0, le=1)


class RequestKind(_Strict):
    """A kind of request and its weight in the mix.

    The prompts of each of the ``groups`` begin with the same
    ``shared_words`` words; their other words are unique.

    :param once: whether it calls a service whose calls are not
        idempotent.
    """

    service: str
    customer: str
    weight: float = pydantic.Field(default=1, gt=0)
    words: int = pydantic.Field(default=40, ge=2)
    shared_words: int = pydantic.Field(default=0, ge=0)
    groups: int = pydantic.Field(default=1, ge=1)
    tokens: int = pydantic.Field(default=16, ge=1)
    once: bool = False


class Fault(_Strict):
    """A fault injected ``at_s`` seconds after the start of a round.

    One of ``reclaim_zone``, ``log``, ``refuse_replacements`` and
    ``link`` is given.

    :param reclaim_zone: the zone whose hosts are reclaimed after
        ``notice_ms``.
    :param log: the faults of the log service.
    :param refuse_replacements: whether the cloud refuses replacement
        hosts.
    :param link: administrative URL of the link stand-in whose mode is set
        to ``mode``.
    """

    at_s: float = pydantic.Field(ge=0)
    reclaim_zone: str | None = None
    notice_ms: int = 3000
    log: dict | None = None
    refuse_replacements: bool | None = None
    link: str | None = None
    mode: str | None = None


class Plan(_Strict):
    """The contents of a bench file.

    :param give_up_s: time limit of a request, retries included.
    """

    daemons: list[str]
    log_url: str
    cloud_url: str | None = None
    hosts: list[HostPlan]
    prices: list[Price]
    arrivals: ArrivalPlan = ArrivalPlan()
    mix: list[RequestKind]
    faults: list[Fault] = []
    policies: list[RoutingKind] = [RoutingKind.AFFINITY]
    rounds: int = pydantic.Field(default=1, ge=1, le=20)
    give_up_s: float = pydantic.Field(default=30, gt=0, le=MAX_SECONDS)
    seed: int = 1

    @pydantic.field_validator('daemons')
    @classmethod
    def check_daemons(cls, urls):
        """Reject daemons that are not on this machine."""
        return [check_loopback(url) for url in urls]

    @pydantic.field_validator('log_url', 'cloud_url')
    @classmethod
    def check_platform(cls, url):
        """Reject platform URLs that are not on this machine."""
        return None if url is None else check_loopback(url)

    @pydantic.model_validator(mode='after')
    def check_prices(self):
        """Reject a host without a price."""
        for host in self.hosts:
            self.get_price(host)
        return self

    @pydantic.model_validator(mode='after')
    def check_reclaims(self):
        """Reject a plan that has a reclaim and several rounds.

        Reclaimed hosts are not available in later rounds.
        """
        reclaims = [f for f in self.faults if f.reclaim_zone is not None]
        if reclaims and self.rounds * len(self.policies) > 1:
            raise ValueError(
                'a plan that reclaims hosts must have one policy and one round'
            )
        return self

    def get_price(self, host):
        """Return a host's price per hour.

        :raises ValueError: there is no price for its class and zone.
        """
        for price in self.prices:
            if (price.zone, price.machine, price.reclaimable) == (
                host.zone,
                host.machine,
                host.reclaimable,
            ):
                return price.per_hour
        raise ValueError(f'no price for host {host.id!r}')


def load(path):
    """Read and validate a bench file.

    :param path: path of the YAML file.
    :returns: a :class:`Plan`.
    :raises SettingsError: the file cannot be read or is invalid.
    """
    return settings_module.load_yaml(path, Plan)
