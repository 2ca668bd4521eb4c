"""A request on a kept connection of a host that leaves: is it lost?"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import http  # noqa: E402
from common import rig as rigs  # noqa: E402

# The first stream of each connection begins before the SIGTERM and ends
# after it; the next request follows at once.
FIRST_S = 5.0
LEAD_S = 1.0
NEXT_S = 5.0
EVENTS = 50
EXCUSED_S = 3.0


def plan(message):
    """Return how long a request takes and how many events it has."""
    target = message.first.split(' ')[1]
    if target.startswith('/ticket/'):
        return NEXT_S, 0
    return (FIRST_S if 'first' in target else NEXT_S), EVENTS


class Sent:
    """One request of a client."""

    def __init__(self, kind, request_id):
        self.kind = kind
        self.request_id = request_id
        self.sent_at = time.monotonic()
        self.status = None
        self.is_complete = False
        self.problem = ''


async def ask(rig, reader, writer, kind, method, target, body=b''):
    """Send a request and read its whole answer."""
    request_id, head, body = rigs.request(method, target, body)
    sent = Sent(kind, request_id)
    rig.record.add(f'client sends {request_id} ({method} {target})')
    writer.write(head + body)
    size = 0
    message = None
    try:
        message = await http.read_head(reader)
        if message is None:
            raise http.Closed('closed without an answer')
        sent.status = int(message.first.split(' ')[1])
        async for part in http.read_parts(reader, message):
            size += len(part)
        sent.is_complete = True
    except (http.Closed, ConnectionError) as error:
        sent.problem = f'the connection ends: {error}'
    rig.record.add(
        f'client has {size} bytes of the answer to {request_id}, status '
        f'{sent.status}, complete: {sent.is_complete} {sent.problem}')
    may_go_on = sent.is_complete and message is not None and (
        'close' not in (message.get('connection') or '').lower())
    return sent, may_go_on


async def client(rig, host, name, kind, method, target):
    """Send a stream, and one more request behind it on its connection."""
    reader, writer = await asyncio.open_connection(*host.front)
    try:
        first, may_go_on = await ask(
            rig, reader, writer, 'stream', 'POST', f'/guide/first-{name}',
            b'prompt')
        if not may_go_on:
            return [first]
        second, _ = await ask(
            rig, reader, writer, kind, method, target, b'next')
        return [first, second]
    finally:
        writer.close()


async def play(rig, is_disturbed):
    """Return what broke the rule."""
    config = rigs.configuration(1, [
        rigs.route('guide', '/guide/', 'streaming', 'brain', 15000,
                   targetGapMs=400),
        rigs.route('ticket', '/ticket/', 'unsafe', 'desk', 8000),
    ])
    await rig.start(config, [
        ('brain', 3, plan, 64), ('desk', 3, plan, 6),
    ])
    host = rig.hosts[0]
    kinds = [('stream', '/guide/next'), ('unsafe', '/ticket/next')] * 2
    clients = [
        asyncio.ensure_future(
            client(rig, host, str(n), kind, 'POST', f'{target}-{n}'))
        for n, (kind, target) in enumerate(kinds)
    ]
    await asyncio.sleep(LEAD_S)
    term_at = time.monotonic()
    if is_disturbed:
        rig.record.add(f'SIGTERM to {host.name}')
        host.send(signal.SIGTERM)
        rig_end = asyncio.ensure_future(end_host(rig, host, term_at))
    sent = [one for found in await asyncio.gather(*clients) for one in found]
    if is_disturbed:
        await rig_end
    return judge(rig, sent, term_at)


async def end_host(rig, host, term_at):
    """Send SIGKILL after graceS, as the platform does."""
    try:
        await asyncio.wait_for(host.process.wait(), rigs.GRACE_S)
        rig.record.add(f'{host.name} has ended by itself '
                       f'{time.monotonic() - term_at:.2f} s after SIGTERM')
    except asyncio.TimeoutError:
        rig.record.add(f'SIGKILL to {host.name}')
        host.send(signal.SIGKILL)


def judge(rig, sent, term_at):
    """Check LOST around planned work as it is written."""
    found = []
    for one in sent:
        after_s = one.sent_at - term_at
        if one.is_complete or not rig.ran(one.request_id):
            continue
        if after_s <= EXCUSED_S:
            # The runner was still at work at the end of graceS.
            continue
        found.append(
            f'LOST: {one.request_id} ({one.kind}), sent {after_s:.2f} s '
            f'after SIGTERM, was passed on to a runner; then '
            f'{one.problem}, with status {one.status}')
    return found


if __name__ == '__main__':
    rigs.main(pathlib.Path(__file__).parent, play)
