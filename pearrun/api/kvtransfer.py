"""Moving a running stream's KV cache off an endpoint that is leaving.

With a reclaim notice there are seconds left.  The blocks of the
prompt and of the tokens already streamed are exported from the old
engine and imported into the new one, so that the new engine resumes
the stream without reading the prompt again.
"""

import aiohttp

from pearrun.clock import to_seconds


async def transfer_cache(session, job, source, target, timeout_ms):
    """Copy a job's KV cache blocks between two engines.

    A failure costs only recomputation: the stream resumes either way.

    :param session: an :class:`aiohttp.ClientSession`.
    :param job: the :class:`Job` being moved.
    :param source: the leaving :class:`Endpoint`.
    :param target: the :class:`Endpoint` the job goes to.
    :param timeout_ms: time allowed for the whole copy.
    :returns: how many blocks were imported; 0 when the copy failed.
    """
    body = {'prompt': job.prompt, 'tokens': job.tokens}
    timeout = aiohttp.ClientTimeout(total=to_seconds(timeout_ms))
    try:
        async with session.post(
            f'{source.url}/v1/kv/export', json=body, timeout=timeout
        ) as response:
            blocks = (await response.json(content_type=None))['blocks']
        async with session.post(
            f'{target.url}/v1/kv/import',
            json={'blocks': blocks},
            timeout=timeout,
        ) as response:
            data = await response.json(content_type=None)
            return int(data['imported'])
    except (aiohttp.ClientError, OSError, ValueError, KeyError):
        return 0
