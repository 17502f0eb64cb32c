"""The bench file: fleet, prices, arrivals, mix of requests, faults."""

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
    """Refuse a URL that is not on this machine.

    :raises ValueError: its host is not a loopback address.
    """
    host = urllib.parse.urlsplit(url).hostname or ''
    if host != 'localhost' and not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f'{url} is not on 127.0.0.0/8 or [::1]')
    return url


class HostPlan(_Strict):
    """A host whose time is paid for: its zone and machine class."""

    id: str
    zone: str
    machine: str = 'standard'
    reclaimable: bool = True
    url: str

    _check = pydantic.field_validator('url')(check_loopback)


class Price(_Strict):
    """What an hour of a machine class costs in a zone."""

    zone: str
    machine: str = 'standard'
    reclaimable: bool = True
    per_hour: float = pydantic.Field(ge=0)


class Arrivals(_Strict):
    """A show's audience: most of a minute's demand in its first seconds.

    Of ``requests`` a round, ``burst_share`` arrive within ``burst_s``
    seconds, crowded towards their beginning, the others evenly over
    ``round_s``.
    """

    requests: int = pydantic.Field(default=200, ge=1, le=MAX_REQUESTS)
    round_s: float = pydantic.Field(default=20, gt=0, le=MAX_SECONDS)
    burst_s: float = pydantic.Field(default=4, gt=0)
    burst_share: float = pydantic.Field(default=0.9, ge=0, le=1)


class Mix(_Strict):
    """One kind of request and how much of the demand it is.

    Prompts of one of the ``groups`` share their first
    ``shared_words``; the other words are each request's own.
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
    """Something that goes wrong ``at_s`` into a round; one is given."""

    at_s: float = pydantic.Field(ge=0)
    reclaim_zone: str | None = None
    notice_ms: int = 3000
    log: dict | None = None
    refuse_replacements: bool | None = None
    link: str | None = None
    mode: str | None = None


class Plan(_Strict):
    """A whole bench file."""

    daemons: list[str]
    log_url: str
    cloud_url: str | None = None
    hosts: list[HostPlan]
    prices: list[Price]
    arrivals: Arrivals = Arrivals()
    mix: list[Mix]
    faults: list[Fault] = []
    policies: list[RoutingKind] = [RoutingKind.AFFINITY]
    rounds: int = pydantic.Field(default=1, ge=1, le=20)
    give_up_s: float = pydantic.Field(default=30, gt=0, le=MAX_SECONDS)
    seed: int = 1

    @pydantic.field_validator('daemons')
    @classmethod
    def check_daemons(cls, urls):
        """Refuse daemons that are not on this machine."""
        return [check_loopback(url) for url in urls]

    @pydantic.field_validator('log_url', 'cloud_url')
    @classmethod
    def check_platform(cls, url):
        """Refuse platform URLs that are not on this machine."""
        return None if url is None else check_loopback(url)

    @pydantic.model_validator(mode='after')
    def check_prices(self):
        """Refuse a host whose price is not given."""
        for host in self.hosts:
            self.price_of(host)
        return self

    @pydantic.model_validator(mode='after')
    def check_reclaims(self):
        """Refuse several rounds on hosts that a reclaim takes away."""
        reclaims = [f for f in self.faults if f.reclaim_zone is not None]
        if reclaims and self.rounds * len(self.policies) > 1:
            raise ValueError(
                'a plan that reclaims hosts has one policy and one round'
            )
        return self

    def price_of(self, host):
        """Return a host's price per hour.

        :raises ValueError: no price fits the host.
        """
        for price in self.prices:
            if (price.zone, price.machine, price.reclaimable) == (
                host.zone,
                host.machine,
                host.reclaimable,
            ):
                return price.per_hour
        raise ValueError(f'no price fits host {host.id!r}')


def load(path):
    """Read and check a bench file.

    :param path: path of the YAML file.
    :returns: a :class:`Plan`.
    :raises SettingsError: the file is unreadable or wrong.
    """
    return settings_module.load_yaml(path, Plan)
