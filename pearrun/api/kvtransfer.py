"""Transfer of a stream's KV cache from an endpoint that is leaving.

After a reclaim notice, seconds are left to move a stream.  The blocks
of the prompt and of the tokens already streamed are exported from the
old engine and imported into the new one, so that the new engine
resumes the stream without a second prefill of the prompt.
"""

import aiohttp

from pearrun.clock import to_seconds


async def transfer_cache(session, job, source, target, timeout_ms):
    """Copy a job's KV cache blocks between two engines.

    If the transfer fails, the new engine recomputes the cache when it
    resumes the stream.

    :param session: an :class:`aiohttp.ClientSession`.
    :param job: the :class:`Job` to migrate.
    :param source: the leaving :class:`Endpoint`.
    :param target: the :class:`Endpoint` that the job migrates to.
    :param timeout_ms: timeout of each of the two requests.
    :returns: the number of blocks imported; 0 if the transfer failed.
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
