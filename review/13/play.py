"""A runner's beat of before is carried out late, behind its report that it
drains."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))
import standins  # noqa: E402

DRAIN_S = 2.0
# From the beat whose answer is lost until it is carried out.
LATE_S = 5.4
# From that beat until the runner reports that it drains: more than the 3 s
# without disruption after which the store counts as stable again.
REPORT_S = 3.2
# From the report until the runner exits, a little behind the drain time.
EXIT_S = 2.6
WORK_S = 0.45

ROUTES = [
    {
        'name': 'ticket',
        'host': standins.SITE,
        'pathPrefix': '/ticket/',
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetLatencyMs': 300,
        'priority': 2,
        'service': 'desk',
        'attempts': 1,
        'stages': [],
        'public': False,
    }
]
SERVICES = [
    {'name': 'desk', 'healthPath': '/health', 'connectionLimit': 110}
]


class Desk(standins.PlainRunner):
    """Says in all its answers that it leaves, once it does."""

    def headers(self, request):
        leaving = (('Server-Leaving', '1'),)
        return super().headers(request) + (
            leaving if self.state == 'draining' else ()
        )


async def ask(record, host, name, statuses):
    ip, _, port = host.address('front').partition(':')
    status, headers, body = await standins.call(
        ip,
        int(port),
        'POST',
        f'/ticket/{name}',
        {
            'Request-Id': name,
            'Authorization': 'Bearer key-1',
            'Deadline-Milliseconds': '3000',
        },
        b'x' * 600,
    )
    record.say(f'client gets {status} for {name} from {host.name}')
    statuses[name] = status


async def play(record, trouble):
    with standins.deployment() as (folder, ended):
        store = standins.Store()
        await store.server.listen()
        store.put('config', 'main', standins.configuration(ROUTES, SERVICES))
        desks = [
            Desk(store, record, f'i-d{n}', 'desk', slots=6, work_s=WORK_S)
            for n in (1, 2)
        ]
        for desk in desks:
            await desk.start()
        hosts = [standins.Host(folder, n, store) for n in (1, 2, 3)]
        ended += hosts
        for host in hosts:
            host.write_settings([h.address('control') for h in hosts])
            host.start()
        for host in hosts:
            await host.until_ready()
        await asyncio.sleep(4.0)
        record.say('all hosts are ready')
        leaver, statuses, sent_at = desks[0], {}, {}

        async def ask_all(prefix, count):
            names = [f'{prefix}-{n}' for n in range(count)]
            for name in names:
                sent_at[name] = record.now()
            await asyncio.gather(
                *(
                    ask(record, hosts[n % 3], name, statuses)
                    for n, name in enumerate(names)
                )
            )

        await ask_all('first', 6)
        before = leaver.sequence
        while leaver.sequence == before:
            await asyncio.sleep(0.01)
        beat = leaver.entry()
        record.say(f'the answer to a beat of i-d1 is lost: {beat["state"]}')

        async def carry_out():
            await asyncio.sleep(LATE_S)
            record.say('the store carries that beat out')
            store.put('servers', leaver.name, beat)

        if trouble:
            late = asyncio.ensure_future(carry_out())
        await asyncio.sleep(REPORT_S)
        leaver.state = 'draining'
        leaver.sequence += 3
        leaver.register()
        reported_at = record.now()
        record.say('the store accepts that i-d1 drains')
        await asyncio.sleep(1.0)
        await ask_all('then', 6)
        await asyncio.sleep(reported_at + 2.25 - record.now())
        burst = asyncio.ensure_future(ask_all('later', 12))
        await asyncio.sleep(reported_at + EXIT_S - record.now())
        store.remove('servers', leaver.name)
        leaver.crash()
        record.say('i-d1 has left')
        await burst
        if trouble:
            await late
        reached = [
            (at, name)
            for at, name in leaver.arrivals
            if at > reported_at + DRAIN_S
            and sent_at[name] > reported_at + DRAIN_S
        ]
        for at, name in reached:
            record.say(
                f'{name} reached i-d1 {at - reported_at:.2f} s after the '
                f'acknowledgement; its client got {statuses[name]}'
            )
        return bool(reached)


standins.run(play, HERE)
