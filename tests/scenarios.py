"""Runs scenarios written in YAML against real processes.

A scenario file gives the zones and a list of steps; each step is one field
of :class:`steps.Step`.  Answers must be exactly those that the stand-ins
produce.
"""

import json
import time

from tests import callers
from tests import cluster as cluster_module
from tests import steps


class ScenarioRunner:
    """Runs one scenario on a cluster of its own.

    :param scenario: the :class:`steps.Scenario`.
    :param workdir: directory for settings files and logs.
    """

    def __init__(self, scenario, workdir):
        self.scenario = scenario
        zones = {
            name: cluster_module.Zone(**sizes)
            for name, sizes in scenario.zones.items()
        }
        self.cluster = cluster_module.Cluster(
            workdir,
            zones,
            scenario.engine,
            scenario.host,
            scenario.log,
            scenario.links,
            scenario.platform,
        )
        self.calls = []

    def run(self):
        """Start the cluster and run every step.

        :raises AssertionError: a step's check failed.
        """
        try:
            self.cluster.start_all()
            for step in self.scenario.steps:
                [(kind, value)] = step.model_dump(exclude_none=True).items()
                getattr(self, f'do_{kind}')(getattr(step, kind) or value)
        finally:
            self.cluster.stop()

    def find_calls(self, name):
        """Return the calls that the steps ``send`` of this name made."""
        found = [c for c in self.calls if c.send.name == name]
        assert found, f'no calls named {name}'
        return found

    def do_send(self, send):
        """Send requests and check that they are accepted or refused."""
        for number in range(send.count):
            call = callers.Call(send, number, self.cluster.url(send.to))
            self.calls.append(call)
            call.start()
            if send.refused is not None:
                call.thread.join(10)
                assert call.error['code'] == send.refused, call.error
            elif send.how == 'async':
                assert call.accepted, call.error
        if send.how != 'async' and send.refused is None:
            time.sleep(0.1)

    def do_wait_ms(self, wait_ms):
        time.sleep(wait_ms / 1000)

    def do_signal(self, signal):
        self.cluster.signal(signal.process, signal.name)

    def do_restart(self, process):
        self.cluster.restart(process)

    def do_reclaim(self, reclaim):
        """Announce a reclaim, then kill the zone's processes if asked to."""
        url = self.cluster.url('cloud')
        body = {'zone': reclaim.zone, 'notice_ms': reclaim.notice_ms}
        cluster_module.call_json(f'{url}/admin/reclaim', body)
        if reclaim.kill_after_ms is not None:
            time.sleep(reclaim.kill_after_ms / 1000)
            for name, zone in self.cluster.zone_of.items():
                if zone == reclaim.zone:
                    self.cluster.signal(name, 'KILL')

    def do_log_fault(self, fault):
        url = self.cluster.url('log')
        cluster_module.call_json(f'{url}/admin/faults', fault)

    def do_answer(self, answer):
        """Check the answers, as received or as fetched at another host."""
        for call in self.find_calls(answer.of):
            if answer.at is None:
                call.thread.join(answer.timeout_s)
                assert ''.join(call.pieces) == call.expected
                continue
            assert call.accepted, (call.status, call.error)
            self.check_answer_at(call, answer)

    def check_answer_at(self, call, answer):
        """Check the answer that a host returns for the request's id."""
        url = f'{self.cluster.url(answer.at)}/v1/requests/{call.id}'
        deadline = time.monotonic() + answer.timeout_s
        while True:
            status, headers, body = cluster_module.call_json(url)
            if status == 200 and body['state'] not in ('accepted', 'running'):
                break
            if status != 200:
                assert 'Retry-After' in headers, body
            assert time.monotonic() < deadline, body
            time.sleep(0.05)
        assert body['state'] == 'done', body
        assert body['text'] == call.expected
        self.check_resumed_stream(call, url)

    def check_resumed_stream(self, call, url):
        """Check that a stream can be resumed by id where its caller is.

        What the caller has received and the resumed rest must add up to the
        expected answer.
        """
        start = len(call.pieces) if call.send.how == 'stream' else 0
        _, _, raw = cluster_module.call(f'{url}?stream=true&from={start}')
        events = [
            json.loads(line[6:])
            for line in raw.decode().splitlines()
            if line.startswith('data: {')
        ]
        rest = [e['choices'][0]['text'] for e in events if 'choices' in e]
        assert ''.join(call.pieces[:start] + rest) == call.expected

    def do_follow(self, follow):
        for call in self.find_calls(follow.of):
            call.follow(self.cluster.url(follow.at))

    def do_cancel(self, cancel):
        call = self.find_calls(cancel.of)[0]
        url = f'{self.cluster.url(cancel.at)}/v1/requests/{call.id}/cancel'
        status, _, body = cluster_module.call_json(url, {})
        assert status == 200, body
        assert body['state'] == 'cancelled', body
        assert body['error']['error']['not_run'] == cancel.not_run

    def do_executions(self, executions):
        """Check how often the plain services ran a key's requests."""
        total = 0
        for name in self.cluster.list_names('service'):
            url = f'{self.cluster.url(name)}/v1/executions'
            counts = cluster_module.call_json(url)[2]['executions']
            total += sum(
                n for k, n in counts.items() if k.endswith(executions.key)
            )
        if executions.exactly is not None:
            assert total == executions.exactly
        if executions.at_most is not None:
            assert total <= executions.at_most

    def fetch_started(self):
        """Return the requests that each running engine has started.

        :returns: a map of engine name to a map of request id to count.
        """
        started = {}
        for name in self.cluster.list_names('engine'):
            if self.cluster.procs[name].poll() is None:
                url = f'{self.cluster.url(name)}/v1/started'
                started[name] = cluster_module.call_json(url)[2]['started']
        return started

    def do_never_started(self, never):
        """Check that engines started accepted requests only, none of these."""
        accepted = {c.id for c in self.calls if c.accepted}
        excluded = {c.id for c in self.find_calls(never.of)}
        for counts in self.fetch_started().values():
            assert set(counts) <= accepted - excluded

    def do_links(self, links):
        self.cluster.set_links(links.daemon, links.mode)

    def do_apply(self, apply):
        team = self.cluster.tree['teams']['sinal-nordeste']
        team['customers'].append(apply.customer)
        self.cluster.apply_config()

    def do_in_force(self, rule):
        cluster_module.wait_until(
            lambda: (
                self.cluster.status(rule.daemon)['config_version']
                >= rule.version
            ),
            rule.timeout_s,
            f'version {rule.version} on {rule.daemon}',
        )

    def do_drain(self, drain):
        done = self.cluster.run_cli('drain', drain.endpoint)
        assert done.returncode == 0, done.stderr

    def do_no_new_work(self, rule):
        """Send requests to all daemons; none may reach the endpoint."""
        before = self.fetch_started()[rule.endpoint]
        deadline = time.monotonic() + rule.for_ms / 1000
        while time.monotonic() < deadline:
            for name in self.cluster.list_names('daemon'):
                send = steps.Send(name='probe', to=name, tokens=2)
                callers.Call(
                    send, time.monotonic_ns(), self.cluster.url(name)
                ).start()
        assert self.fetch_started()[rule.endpoint] == before
