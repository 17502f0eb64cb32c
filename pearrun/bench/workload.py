"""Workloads: a YAML file of requests, sent as one burst.

A workload file looks like::

    requests:
      - service: pearrun-oficina
        customer: sinal-recife
        prompt: "fault log ..."
        max_tokens: 40
        stream: true
        idempotency_key: renewal-17     # optional
        repeat: 2                       # send this many times

Each answer is checked whole against what the engine stand-in must
produce for the prompt, so a cut or crossed answer is caught.
"""

import asyncio
import dataclasses
import itertools
import json

import aiohttp
import pydantic

from pearrun.api import settings as settings_module
from pearrun.standins import text


class WorkloadItem(pydantic.BaseModel):
    """One request of a workload."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service: str
    customer: str | None = None
    prompt: str
    max_tokens: int = pydantic.Field(default=32, ge=1)
    stream: bool = False
    seed: int = 0
    idempotency_key: str | None = None
    expect: str = 'engine'
    repeat: int = pydantic.Field(default=1, ge=1)


class Workload(pydantic.BaseModel):
    """A whole workload file."""

    model_config = pydantic.ConfigDict(extra='forbid')

    requests: list[WorkloadItem]


@dataclasses.dataclass
class Outcome:
    """What one request got."""

    item: WorkloadItem
    status: int
    text: str
    is_correct: bool
    error: dict | None = None


def load(path):
    """Read and check a workload file.

    :raises SettingsError: the file is unreadable or wrong.
    """
    return settings_module.load_yaml(path, Workload)


def expected_text(item):
    """Return the whole answer a request must get."""
    if item.expect == 'service':
        return f'acknowledged {item.prompt}'
    return text.generate_answer(item.prompt, item.seed, item.max_tokens)


async def read_events(reply):
    """Collect the tokens of a server-sent event stream."""
    pieces = []
    final = None
    async for raw in reply.content:
        line = raw.decode('utf-8').strip()
        if not line.startswith('data: ') or line == 'data: [DONE]':
            continue
        event = json.loads(line[len('data: ') :])
        if 'choices' in event:
            pieces.append(event['choices'][0]['text'])
        else:
            final = event
    return ''.join(pieces), final


async def send(session, url, item):
    """Send one request and check its answer."""
    body = {
        'model': item.service,
        'prompt': item.prompt,
        'max_tokens': item.max_tokens,
        'stream': item.stream,
        'seed': item.seed,
    }
    if item.customer:
        body['user'] = item.customer
    headers = {}
    if item.idempotency_key:
        headers['Idempotency-Key'] = item.idempotency_key
    async with session.post(
        f'{url}/v1/completions', json=body, headers=headers
    ) as reply:
        if reply.status != 200:
            error = await reply.json(content_type=None)
            return Outcome(item, reply.status, '', False, error)
        if item.stream:
            answer, final = await read_events(reply)
            error = final.get('error') if final else None
        else:
            data = await reply.json()
            answer = data['choices'][0]['text']
            error = None
    return Outcome(
        item, reply.status, answer, answer == expected_text(item), error
    )


async def run_burst(workload, daemon_urls):
    """Send every request of a workload at once, spread over daemons.

    :param workload: a :class:`Workload`.
    :param daemon_urls: base URLs of daemons, used in turn as a
        balancer would.
    :returns: a list of :class:`Outcome`, in the workload's order.
    """
    urls = itertools.cycle(daemon_urls)
    timeout = aiohttp.ClientTimeout(total=120)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            send(session, next(urls), item)
            for item in workload.requests
            for _ in range(item.repeat)
        ]
        return await asyncio.gather(*calls)
