"""Steps of faults over real processes."""

import json
import signal
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import calls
from features.support import processes

SETTLE_S = 20.0
LEAVING_BOUND_S = 3.0
STREAM_CLASSES = ('morning-briefing', 'safety-notice', 'tide-question')
CALLER_SECONDS = 30.0


class Caller(threading.Thread):
    """A caller that reads a stream and resumes it elsewhere if it breaks."""

    def __init__(self, system: Any, node: str, index: int) -> None:
        """Prepare a request for a node."""
        super().__init__(daemon=True)
        self.system = system
        self.node = node
        name = STREAM_CLASSES[index % len(STREAM_CLASSES)]
        self.body = calls.request_body(name, f'stream {index}')
        self.done = calls.Exchange(
            self.body['key'], self.body['class_of_work'], self.body['input']
        )

    def run(self) -> None:
        """Send, and send the same key elsewhere after a broken stream."""
        names = [self.node, *(n for n in self.system.nodes if n != self.node)]
        give_up_at = time.monotonic() + CALLER_SECONDS
        attempt = 0
        while time.monotonic() < give_up_at:
            address = self.system.nodes[names[attempt % len(names)]]
            attempt += 1
            try:
                done = calls.exchange(address, self.body)
            except (OSError, ValueError):
                time.sleep(0.2)
                continue
            if done.end:
                self.done = done
                return
            time.sleep(0.2)


@given('{count:d} requests are streaming from "{node}"')
def start_streams(context: Any, count: int, node: str) -> None:
    """Slow the generators and start callers."""
    for name in context.system.runners:
        if name.startswith('generator'):
            body = {'fault': 'slow', 'value': 12}
            context.system.control(name, body)
    context.callers = [Caller(context.system, node, i) for i in range(count)]
    for caller in context.callers:
        caller.start()
    time.sleep(0.6)


def heal_generators(context: Any) -> None:
    """Let the generators be fast again."""
    for name in context.system.runners:
        if name.startswith('generator'):
            body = {'fault': 'slow', 'value': 0}
            context.system.control(name, body)


@when('"{node}" is killed')
def kill_node(context: Any, node: str) -> None:
    """Kill a node at once."""
    context.system.signal(node, signal.SIGKILL)
    context.system.wait_exit(node)
    heal_generators(context)


@when('"{node}" gets SIGTERM')
def drain_node(context: Any, node: str) -> None:
    """Ask a node to leave."""
    context.system.signal(node, signal.SIGTERM)


@then('callers that resume on other nodes get whole answers')
def check_resumed(context: Any) -> None:
    """Idempotent requests are whole; others are whole or unknown."""
    for caller in context.callers:
        caller.join(CALLER_SECONDS)
        done = caller.done
        if done.class_of_work == 'safety-notice':
            assert done.outcome in ('completed', 'unknown'), done
        else:
            calls.check_whole(done)


@then('every one of those requests gets its whole answer')
def check_all_whole(context: Any) -> None:
    """No request is cut off."""
    for caller in context.callers:
        caller.join(CALLER_SECONDS)
        calls.check_whole(caller.done)
    heal_generators(context)


@then('nothing ran twice on "{service}"')
def check_once(context: Any, service: str) -> None:
    """Count the runs of each key."""
    ran = context.system.executed(service)
    assert len(ran) == len(set(ran)), ran


@then('"{node}" ends with exit code {code:d}')
def check_exit(context: Any, node: str, code: int) -> None:
    """Wait for the process."""
    assert context.system.wait_exit(node) == code


@then('the other nodes no longer list "{node}"')
def check_unlisted(context: Any, node: str) -> None:
    """Look at the directory of every other node."""
    for name in context.system.nodes:
        if name != node:
            assert node not in context.system.listed(name)


@then('"{node}" serves again after it is started anew')
def restart_node(context: Any, node: str) -> None:
    """Start a node again and wait until all list it."""
    context.system.start('node', node)
    processes.wait_until(context.system.is_ready, SETTLE_S)


@when('"{node}" is stopped and its peers give it up')
def stop_node(context: Any, node: str) -> None:
    """Stop a node until no other lists it."""
    context.system.signal(node, signal.SIGSTOP)
    others = [name for name in context.system.nodes if name != node]
    processes.wait_until(
        lambda: all(node not in context.system.listed(n) for n in others),
        SETTLE_S,
    )
    context.others = others


@then('requests to the other nodes get whole answers')
def check_others(context: Any) -> None:
    """Send each class to the other nodes."""
    targets = [
        (context.system.nodes[name], calls.request_body(work, f'{name}'))
        for name in context.others
        for work in ('tide-question', 'repair-ticket')
    ]
    for done in calls.exchange_all(targets):
        calls.check_whole(done)


@then('"{node}" is listed again after it goes on')
def resume_node(context: Any, node: str) -> None:
    """Let the node go on and wait for the directory."""
    context.system.signal(node, signal.SIGCONT)
    processes.wait_until(context.system.is_ready, SETTLE_S)


@when('one repair ticket is sent to every node three times at once')
def send_ticket_often(context: Any) -> None:
    """Send one key nine times."""
    body = calls.request_body('repair-ticket', 'broken kettle')
    targets = [
        (address, body)
        for address in context.system.nodes.values()
        for _ in range(3)
    ]
    context.key = body['key']
    context.exchanges = calls.exchange_all(targets)


@then('it ran once on "{service}"')
def check_ran_once(context: Any, service: str) -> None:
    """Count the runs of the key."""
    assert context.system.executed(service).count(context.key) == 1


@then('every caller got the whole answer or was told not_run or unknown')
def check_each_caller(context: Any) -> None:
    """Every caller has an end; most have the answer."""
    outcomes = [done.outcome for done in context.exchanges]
    assert len(outcomes) == 9
    assert set(outcomes) <= {'completed', 'not_run', 'unknown'}, outcomes
    assert 'completed' in outcomes, outcomes
    for done in context.exchanges:
        if done.outcome == 'completed':
            calls.check_whole(done)


@given('the runner "{name}" lets its open connections go silent')
def silence_connections(context: Any, name: str) -> None:
    """Warm connections up, then silence them for a while."""
    targets = [
        (
            context.system.nodes['node-1'],
            calls.request_body('parts-lookup', f'warm {i}'),
        )
        for i in range(6)
    ]
    calls.exchange_all(targets)
    body = {'fault': 'silent_connection', 'value': 0.5}
    context.system.control(name, body)
    context.silenced = name


@when('{count:d} requests are sent to "{node}"')
def send_some(context: Any, count: int, node: str) -> None:
    """Send requests that need the silenced runner."""
    targets = [
        (
            context.system.nodes[node],
            calls.request_body('fault-diagnosis', f'case {i}'),
        )
        for i in range(count)
    ]
    context.exchanges = calls.exchange_all(targets)


@then('all of them get whole answers')
def check_exchanges(context: Any) -> None:
    """Check each answer and heal the runner."""
    body = {'fault': 'silent_connection', 'value': 0}
    context.system.control(context.silenced, body)
    for done in context.exchanges:
        calls.check_whole(done)


@when('the runner "{name}" begins to leave')
def drain_runner(context: Any, name: str) -> None:
    """Tell a runner to leave."""
    context.system.control(name, {'drain': True})
    context.leaving = name


@then('within 3 s no node sends it new work')
def check_leaving(context: Any) -> None:
    """After the bound, requests must not choose the runner."""
    time.sleep(LEAVING_BOUND_S)
    for node, address in context.system.nodes.items():
        for index in range(4):
            body = calls.request_body('parts-lookup', f'{node} {index}')
            calls.check_whole(calls.exchange(address, body))
            url = f'http://{address}/v1/requests/{body["key"]}/explain'
            decisions = json.loads(processes.call_http(url)[1])
            chosen = [d['chosen'] for d in decisions]
            assert context.leaving not in chosen, decisions
    context.system.control(context.leaving, {'drain': False})


@when('the platform is down')
def take_platform_down(context: Any) -> None:
    """Let the platform refuse everything."""
    context.system.control('platform', {'fault': 'down', 'active': True})


@then('a parts lookup gets its whole answer')
def check_lookup(context: Any) -> None:
    """Idempotent work goes on."""
    address = context.system.nodes['node-2']
    body = calls.request_body('parts-lookup', 'a fuse')
    calls.check_whole(calls.exchange(address, body))


@then('a repair ticket is not_run and the caller is told when to return')
def check_ticket_refused(context: Any) -> None:
    """Work that needs a claim is refused, at last at admission."""
    address = context.system.nodes['node-2']
    for _ in range(2):
        body = calls.request_body('repair-ticket', 'no store')
        done = calls.exchange(address, body)
        assert done.outcome == 'not_run', done
        told = done.end or done.problem
        assert told['retry_after_s'] > 0, done
        assert body['key'] not in context.system.executed('encoder')


@then('a repair ticket gets its whole answer once the platform is back')
def check_ticket_after(context: Any) -> None:
    """Heal the platform and try until the bound."""
    context.system.control('platform', {'fault': 'down', 'active': False})

    def works() -> bool:
        address = context.system.nodes['node-2']
        body = calls.request_body('repair-ticket', 'store is back')
        return calls.exchange(address, body).outcome == 'completed'

    processes.wait_until(works, SETTLE_S)


@when('the platform is down and "{node}" is killed and started anew')
def restart_without_platform(context: Any, node: str) -> None:
    """Restart a node that can ask its peers alone."""
    context.system.control('platform', {'fault': 'down', 'active': True})
    context.system.signal(node, signal.SIGKILL)
    context.system.wait_exit(node)
    context.system.start('node', node)


@then('"{node}" serves with the configuration of its peers')
def check_peer_configuration(context: Any, node: str) -> None:
    """Compare versions with a peer and send a request."""
    processes.wait_until(context.system.is_ready, SETTLE_S)
    mine = context.system.status(node)['in_force']
    peers = context.system.status('node-2')['in_force']
    assert mine == peers
    body = calls.request_body('parts-lookup', 'a spring')
    calls.check_whole(calls.exchange(context.system.nodes[node], body))
    context.system.control('platform', {'fault': 'down', 'active': False})
