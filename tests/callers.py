"""Callers in scripted scenarios, each with its own thread."""

import json
import threading
import urllib.error
import urllib.request

from pearrun.standins import text


class Call:
    """One request of a scenario and the response to it.

    :param send: the :class:`steps.Send` that describes the request.
    :param number: its number among the requests of that step.
    :param url: base URL of the daemon.
    """

    def __init__(self, send, number, url):
        self.send = send
        self.number = number
        self.url = url
        self.id = None
        self.status = None
        self.error = None
        self.pieces = []
        self.final = None
        self.thread = None

    @property
    def prompt(self):
        words = [f'w{i}' for i in range(self.send.words - 2)]
        return ' '.join([self.send.name, str(self.number), *words])

    @property
    def expected(self):
        if self.send.key is not None:
            return f'acknowledged {self.prompt}'
        return text.generate_answer(self.prompt, 0, self.send.tokens)

    def start(self):
        """Send the request in a thread.

        Returns at once, except for asynchronous requests: these have
        been accepted or refused when it returns.
        """
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        if self.send.how == 'async':
            self.thread.join(30)

    def follow(self, url):
        """Read the answer from its start at a host, by the request's id."""
        target = f'{url}/v1/requests/{self.id}?stream=true'
        self.pieces = []

        def run():
            with urllib.request.urlopen(target, timeout=60) as reply:
                self.read_events(reply)

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()

    def run(self):
        body = {
            'model': self.send.service,
            'prompt': self.prompt,
            'max_tokens': self.send.tokens,
            'stream': self.send.how == 'stream',
        }
        headers = {'Content-Type': 'application/json'}
        if self.send.key is not None:
            headers['Idempotency-Key'] = self.send.key
        if self.send.how == 'async':
            headers['Prefer'] = 'respond-async'
        request = urllib.request.Request(
            f'{self.url}/v1/completions', json.dumps(body).encode(), headers
        )
        try:
            with urllib.request.urlopen(request, timeout=60) as reply:
                self.status = reply.status
                self.id = reply.headers['X-Request-Id']
                self.read(reply)
        except urllib.error.HTTPError as exc:
            self.status = exc.code
            self.error = json.loads(exc.read())['error']
        except (OSError, ValueError):
            self.status = self.status or 0

    def read(self, reply):
        if self.send.how != 'stream':
            body = json.loads(reply.read())
            if self.send.how == 'whole':
                self.pieces.append(body['choices'][0]['text'])
            return
        self.read_events(reply)

    def read_events(self, reply):
        for raw in reply:
            line = raw.decode().strip()
            if line.startswith('data: {'):
                event = json.loads(line[6:])
                if 'choices' in event:
                    assert event['index'] == len(self.pieces)
                    self.pieces.append(event['choices'][0]['text'])
                else:
                    self.final = event

    @property
    def accepted(self):
        return self.id is not None
