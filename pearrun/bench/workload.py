"""Workloads: requests from a YAML file, sent as one burst.

A workload file looks like::

    requests:
      - service: pearrun-oficina
        customer: sinal-recife
        prompt: "fault log ..."
        max_tokens: 40
        stream: true
        idempotency_key: renewal-17     # optional
        repeat: 2                       # number of times it is sent

Each answer is compared with the one that the engine stand-in generates
for the prompt, so that truncated and mixed-up answers are detected.
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
    """The contents of a workload file."""

    model_config = pydantic.ConfigDict(extra='forbid')

    requests: list[WorkloadItem]


@dataclasses.dataclass
class Outcome:
    """The response to one request.

    :param error: the body of an error response, or the error that
        ended a stream.
    """

    item: WorkloadItem
    status: int
    text: str
    is_correct: bool
    error: dict | None = None


def load(path):
    """Read and validate a workload file.

    :raises SettingsError: the file cannot be read or is invalid.
    """
    return settings_module.load_yaml(path, Workload)


def compute_expected_answer(item):
    """Return the complete answer expected for a request."""
    if item.expect == 'service':
        return f'acknowledged {item.prompt}'
    return text.generate_answer(item.prompt, item.seed, item.max_tokens)


async def read_events(reply):
    """Read the tokens of a server-sent event stream.

    :returns: ``(text, final)``; ``final`` is the last event without a
        token, or ``None``.
    """
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
        item,
        reply.status,
        answer,
        answer == compute_expected_answer(item),
        error,
    )


async def run_burst(workload, daemon_urls):
    """Send all requests of a workload at once.

    :param workload: a :class:`Workload`.
    :param daemon_urls: base URLs of the daemons, used in turn as by a
        load balancer.
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
