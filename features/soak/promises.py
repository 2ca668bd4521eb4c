"""What must hold whatever fails, checked on what was seen from outside."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import math

from features.soak import clients
from features.soak import hosts
from features.soak import ledger
from features.support import limit_windows

# Time within which a change of keys is in force, and slack for the host
# that is asked and for this machine.
KEYS_BOUND_S = 6.0
# Time within which all hosts know what one of them knows.
CHANGE_BOUND_S = 3.0
SLACK_S = 1.5
# Time after which a leaving runner gets nothing from a host that it told.
DRAIN_BOUND_S = 3.0
# Time after its start or a disturbance from which a host knows the runners.
SETTLED_S = 4.0
# Requests that may reach a runner in its pause, and from when on they count.
MOST_IN_PAUSE = 2
PAUSE_NOTICE_S = 0.5
# Crashes under a part after which it counts, the time for all hosts to know,
# and the requests with it that may reach runners from then on.
COUNTED_CRASHES = 5
DEADLY_BOUND_S = 4.0
MOST_DEADLY = 3
# The same of a request that crashes runners.
COUNTED_SAME_CRASHES = 3
SAME_BOUND_S = 3.0
# Falls of brittle runners in a run, of which each has one brittle time.
MOST_FALLS = 2
# Time after a host lost its runners from which on it serves its callers, and
# what may fail there: so many, and one in so many of all.
STRANDED_BOUND_S = 3.0
MOST_STRANDED = 10
MOST_STRANDED_SHARE = 50
# Slack around a request in which a runner's other faults concern it.
UNSOUND_BEFORE_S = 0.5
UNSOUND_AFTER_S = 0.2
# Silence that a staged request must survive: that of one runner at its
# longest. The deadline may end one that met more, as its stages run in turn.
ENDURED_S = 1.8
# Time before the deadline at which hosts end a request for it.
DEADLINE_MARGIN_S = 0.1
# Time after the last fault within which every kind is served again.
RECOVERY_S = 15.0
# Streams of two software versions that may be, in a whole run.
MAX_MIXED_STREAMS = 2
NOT_RUN = (408, 421, 429, 503)
ATTEMPTS = {
    'safe': 2,
    'unsafe': 1,
    'stream': 2,
    'staged': 2,
    'late-unsafe': 1,
    **dict.fromkeys(clients.SLOW_KINDS, 1),
}
STREAMS = ('stream', 'staged', 'late-stream', 'outlasting')
# Time after a signal until which a request may be taken that its runner does
# not end before the last part of the grace, and that part.
TAKEN_S = 3.0
LAST_SHARE = 1.0 / 6.0
STAGED_SERVICES = ('engine', 'stage-a', 'stage-b')
SERVICES = {'/safe/': 'plain', '/once/': 'plain', '/stream/': 'engine'}

Check = Callable[[ledger.Ledger], Iterator[str]]
CHECKS: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check under a name."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register


def broken_promises(records: ledger.Ledger) -> list[str]:
    """Return what does not hold, with the name of the promise."""
    return [
        f'{name}: {text}'
        for name, check in CHECKS.items()
        for text in check(records)
    ]


def _runs(records: ledger.Ledger) -> dict[str, list[ledger.Arrival]]:
    """Return the arrivals that ran, by request."""
    runs: dict[str, list[ledger.Arrival]] = collections.defaultdict(list)
    for arrival in records.arrivals:
        if arrival.ran:
            runs[arrival.request_id].append(arrival)
    return runs


@promise('own-answer')
def own_answer(records: ledger.Ledger) -> Iterator[str]:
    """A whole answer is that of the caller's own request, and the end."""
    for one in records.outcomes:
        if one.surplus:
            yield f'{one.request_id} ({one.kind}) got {one.surplus[:60]!r} too'
        if one.status == 200 and one.problem is None:
            body = clients.body_without_versions(one)
            if body != clients.expected_body(one):
                yield f'{one.request_id} ({one.kind}) got {one.body[:60]!r}'


@promise('own-inputs')
def own_inputs(records: ledger.Ledger) -> Iterator[str]:
    """What is made for a request is made of its own results."""
    for handle, reader, owner in records.foreign:
        yield f'{reader} got {handle}, a result of {owner}'


@promise('event-order')
def event_order(records: ledger.Ledger) -> Iterator[str]:
    """What came of a stream begins its events, none twice or left out."""
    for one in records.outcomes:
        if one.status == 200 and one.kind in STREAMS:
            body = clients.body_without_versions(one)
            if not clients.expected_body(one).startswith(body):
                yield f'{one.request_id} got {one.body[-80:]!r}'


@promise('versions')
def versions(records: ledger.Ledger) -> Iterator[str]:
    """Hardly any stream holds events of two software versions."""
    shown: dict[str, set[bytes]] = collections.defaultdict(set)
    for one in records.outcomes:
        if one.kind in STREAMS:
            shown[one.first_attempt] |= clients.versions(one)
    mixed = [name for name, found in shown.items() if len(found) > 1]
    if len(mixed) > MAX_MIXED_STREAMS:
        yield f'{len(mixed)} streams hold two versions, {mixed[:3]}'


@promise('runs')
def runs(records: ledger.Ledger) -> Iterator[str]:
    """A request runs no more often than its route allows."""
    kinds = {one.request_id: one.kind for one in records.outcomes}
    for request_id, found in _runs(records).items():
        most = ATTEMPTS.get(kinds.get(request_id, ''), 2)
        if len(found) > most:
            name = kinds.get(request_id, found[0].path)
            yield f'{request_id} ({name}) ran {len(found)} times'


@promise('refusal')
def refusal(records: ledger.Ledger) -> Iterator[str]:
    """What is answered as not run did not run and never will."""
    ran = _runs(records)
    for one in records.outcomes:
        if one.status in NOT_RUN and one.request_id in ran:
            yield f'{one.request_id} ({one.kind}) got {one.status} but ran'


@promise('answered')
def answered(records: ledger.Ledger) -> Iterator[str]:
    """A host that nothing disturbs answers before the caller's deadline."""
    for one in records.outcomes:
        if one.problem == 'deadline' and one.status is None:
            if not _is_disturbed(records, one):
                yield f'{one.request_id} ({one.kind}) at {one.host}'


def _is_disturbed(records: ledger.Ledger, one: ledger.Outcome) -> bool:
    return any(
        fault.target in (one.host, 'all')
        and fault.at <= one.ended_at
        and fault.until + SLACK_S >= one.asked_at
        for fault in records.disturbances
    )


@promise('keys')
def keys(records: ledger.Ledger) -> Iterator[str]:
    """Keys are known, or no more known, within the bound."""
    for change in records.key_changes:
        in_force = change.at + KEYS_BOUND_S + SLACK_S
        until = min(
            (
                later.at
                for later in records.key_changes
                if later.key == change.key and later.at > change.at
            ),
            default=float('inf'),
        )
        for one in records.outcomes:
            if one.key != change.key or one.status is None:
                continue
            if not in_force <= one.asked_at < until:
                continue
            if not change.is_valid and _is_starting(records, one):
                continue
            if (one.status != 401) != change.is_valid:
                yield (
                    f'{one.request_id} got {one.status} with {one.key}, '
                    f'{one.asked_at - change.at:.1f} s after its change'
                )


@promise('changes')
def changes(records: ledger.Ledger) -> Iterator[str]:
    """A key that one host knows is soon known to all."""
    for change in records.key_changes:
        if not change.is_valid:
            continue
        asked = [o for o in records.outcomes if o.key == change.key]
        known_at = min(
            (o.ended_at for o in asked if o.status == 200), default=None
        )
        if known_at is None:
            continue
        taken_at = min(
            (
                later.at
                for later in records.key_changes
                if later.key == change.key and later.at > change.at
            ),
            default=math.inf,
        )
        late_at = known_at + CHANGE_BOUND_S + SLACK_S
        for one in asked:
            is_late = late_at <= one.asked_at < taken_at
            if is_late and one.status == 401 and not _is_apart(records, one):
                yield (
                    f'{one.request_id} got 401 with {one.key}, '
                    f'{one.asked_at - known_at:.1f} s after it was known'
                )


def _is_apart(records: ledger.Ledger, one: ledger.Outcome) -> bool:
    """Tell whether a host was kept from the others shortly before."""
    since = one.asked_at - CHANGE_BOUND_S - SLACK_S
    return any(
        fault.target == one.host
        and fault.at <= one.asked_at
        and fault.until >= since
        for fault in [*records.cuts, *records.disturbances]
    )


def _is_starting(records: ledger.Ledger, one: ledger.Outcome) -> bool:
    """Tell whether a host that may not know the keys yet refused to serve."""
    return one.status == 503 and any(
        at <= one.asked_at < at + RECOVERY_S
        for at in records.starts.get(one.host, ())
    )


@promise('known-routes')
def known_routes(records: ledger.Ledger) -> Iterator[str]:
    """Routes and keys that always held are never denied."""
    changed = {change.key for change in records.key_changes}
    for one in records.outcomes:
        denied = (403, 404) if one.key in changed else (401, 403, 404)
        if one.status in denied:
            yield f'{one.request_id} ({one.kind}) got {one.status}'


@promise('service')
def service(records: ledger.Ledger) -> Iterator[str]:
    """A request runs only at a service of its route."""
    for arrival in records.arrivals:
        prefix = '/' + arrival.path.split('/')[1] + '/'
        if arrival.ran and SERVICES.get(prefix) != arrival.service:
            yield f'{arrival.path} ran at {arrival.service}'


@promise('budget')
def budget(records: ledger.Ledger) -> Iterator[str]:
    """Second sends stay within the bounds that all hosts share."""
    first: dict[str, float] = {}
    again: list[float] = []
    for arrival in sorted(records.arrivals, key=lambda a: a.at):
        if arrival.request_id in first:
            again.append(arrival.at)
        first.setdefault(arrival.request_id, arrival.at)
    window_s = float(hosts.RETRY_WINDOW_S)
    for end in again:
        repeats = sum(end - window_s < at <= end for at in again)
        requests = sum(end - window_s < at <= end for at in first.values())
        most = hosts.RETRY_RATIO * requests + hosts.RETRY_SLACK
        if repeats > most:
            yield f'{repeats} of {requests} requests sent again in 10 s'
            return


@promise('limit')
def limit(records: ledger.Ledger) -> Iterator[str]:
    """A runner gets little more than the limit that it names."""
    by_runner: dict[str, list[ledger.LimitedArrival]] = (
        collections.defaultdict(list)
    )
    for arrival in records.limited:
        by_runner[arrival.runner].append(arrival)
    for runner, found in by_runner.items():
        allowed = limit_windows.allowed_in_window(found[0].rate_per_s)
        most = limit_windows.most_in_window(arrival.at for arrival in found)
        if most > allowed:
            yield f'{runner} got {most} requests in 4 s, allowed {allowed:g}'


@promise('drain')
def drain(records: ledger.Ledger) -> Iterator[str]:
    """A host sends nothing to a runner that told it that it leaves."""
    for found in records.noticed:
        late_at = found.told_at + DRAIN_BOUND_S + SLACK_S
        late = [at for at in found.times if at > late_at]
        if found.kind == 'leaving' and late:
            yield f'{found.runner} got {len(late)} requests from {found.host}'


@promise('reported')
def reported(records: ledger.Ledger) -> Iterator[str]:
    """A host sends nothing to a runner that has reported that it leaves.

    One that started since, or was disturbed, may not have read the report.
    """
    late = collections.Counter(
        (found.runner, found.host)
        for found in records.reported
        if not _is_excused(records, found)
    )
    for (runner, host), count in late.items():
        yield f'{runner} got {count} requests from {host}'


def _is_excused(records: ledger.Ledger, found: ledger.ReportedArrival) -> bool:
    has_started = any(
        at > found.reported_at - SETTLED_S
        for starts in records.starts.values()
        for at in starts
        if at < found.at
    )
    return has_started or any(
        one.target == found.host
        and one.at < found.at
        and one.until > found.reported_at - SETTLED_S
        for one in records.disturbances
    )


@promise('pause')
def pause(records: ledger.Ledger) -> Iterator[str]:
    """A host lets a runner alone for as long as that asked it to."""
    for found in records.noticed:
        early = [
            at
            for at in found.times
            if found.told_at + PAUSE_NOTICE_S < at < found.until
        ]
        if found.kind == 'pause' and len(early) > MOST_IN_PAUSE:
            yield f'{found.runner} got {len(early)} requests from {found.host}'


@promise('evacuated')
def evacuated(records: ledger.Ledger) -> Iterator[str]:
    """Nothing is sent to the runners of an evacuated domain."""
    for runner, target in records.evacuated:
        yield f'{runner} of an evacuated domain got {target}'


@promise('deadly')
def deadly(records: ledger.Ledger) -> Iterator[str]:
    """A part that has crashed enough runners is kept from them."""
    crashes, arrivals = records.deadly_crashes, records.deadly_arrivals
    return _late_arrivals(crashes, arrivals, COUNTED_CRASHES, DEADLY_BOUND_S)


@promise('same-request')
def same_request(records: ledger.Ledger) -> Iterator[str]:
    """A request that has crashed three runners is kept from them."""
    crashes, arrivals = records.same_crashes, records.same_arrivals
    return _late_arrivals(
        crashes, arrivals, COUNTED_SAME_CRASHES, SAME_BOUND_S
    )


def _late_arrivals(
    crashes: list[float], arrivals: list[float], counted: int, bound_s: float
) -> Iterator[str]:
    """Yield how many arrivals came too late after so many crashes."""
    if len(crashes) < counted:
        return
    late_at = crashes[counted - 1] + bound_s + SLACK_S
    late = [at for at in arrivals if at > late_at]
    if len(late) > MOST_DEADLY:
        yield f'{len(late)} more requests after {counted} crashes'


@promise('brittle')
def brittle(records: ledger.Ledger) -> Iterator[str]:
    """Brittle runners hardly ever have to turn too much away."""
    if len(records.falls) > MOST_FALLS:
        yield f'{len(records.falls)} falls of brittle runners'


@promise('stranded')
def stranded(records: ledger.Ledger) -> Iterator[str]:
    """A host without runners serves its callers nearly as often."""
    for found in records.strandings:
        span = (found.at + STRANDED_BOUND_S + SLACK_S, found.until)
        asked = [
            one
            for one in records.outcomes
            if span[0] <= one.asked_at < span[1]
            and not _is_disturbed(records, one)
        ]
        at_cut = [one for one in asked if _is_stranded(records, one)]
        others = [one for one in asked if not _is_stranded(records, one)]
        apart = {
            cut.target
            for cut in records.cuts
            if cut.at < span[1] and cut.until > span[0]
        }
        if {one.host for one in others} <= apart:
            # No host that reaches runners is reached by another one.
            continue
        # A service may have no runner at all at that time.
        kinds = {one.kind for one in others if _is_served(one)}
        at_cut = [one for one in at_cut if one.kind in kinds]
        others = [one for one in others if one.kind in kinds]
        failed = sum(not _is_served(one) for one in at_cut)
        if failed <= MOST_STRANDED + len(asked) / MOST_STRANDED_SHARE:
            continue
        if _served_share(at_cut) < 2 / 3 * _served_share(others):
            yield f'{failed} of {len(at_cut)} failed at hosts without runners'
            return


def _is_stranded(records: ledger.Ledger, one: ledger.Outcome) -> bool:
    return any(
        found.target == one.host and found.at <= one.asked_at < found.until
        for found in records.strandings
    )


def _is_served(one: ledger.Outcome) -> bool:
    return one.status == 200 and one.problem is None


def _served_share(found: list[ledger.Outcome]) -> float:
    return sum(_is_served(one) for one in found) / max(len(found), 1)


@promise('silence')
def silence(records: ledger.Ledger) -> Iterator[str]:
    """A request at a sound runner is not given up for its silence."""
    ran = _runs(records)
    for one, silent_s in at_silent_runners(records):
        is_refused = one.status in NOT_RUN and one.request_id not in ran
        if _is_served(one) or is_refused:
            continue
        took_s = one.ended_at - one.asked_at
        is_late = took_s >= clients.DEADLINE_S - DEADLINE_MARGIN_S
        is_long = one.kind == 'staged' and silent_s > ENDURED_S
        if not (is_late and is_long):
            yield (
                f'{one.request_id} ({one.kind}) at {one.host} ended with '
                f'{one.status}, {one.problem} after {took_s:.1f} s, '
                f'its runners were silent for {silent_s:.1f} s'
            )


def at_silent_runners(
    records: ledger.Ledger,
) -> list[tuple[ledger.Outcome, float]]:
    """Return requests that silence alone concerned, and its length."""
    calls: dict[str, list[ledger.SilentCall]] = collections.defaultdict(list)
    for call in records.silent_calls:
        calls[call.request_id].append(call)
    runners_of: dict[str, set[str]] = collections.defaultdict(set)
    for arrival in records.arrivals:
        runners_of[arrival.request_id].add(arrival.runner)
    found = []
    for one in records.outcomes:
        silent_s = sum(
            min(call.until, one.ended_at) - call.at
            for call in calls.get(one.request_id, ())
            if call.at < one.ended_at
        )
        if silent_s and not _is_concerned(records, one, runners_of):
            found.append((one, silent_s))
    return found


def _is_concerned(
    records: ledger.Ledger,
    one: ledger.Outcome,
    runners_of: dict[str, set[str]],
) -> bool:
    """Tell whether a fault concerned a request's host or its runners.

    Any host and any runner of a stage may have run stages of a request.
    """
    hosts_of = {one.host, 'all'}
    used = runners_of.get(one.request_id, set())
    if one.kind == 'staged':
        used = {*STAGED_SERVICES}
        hosts_of |= {fault.target for fault in records.disturbances}
    since = one.asked_at - UNSOUND_BEFORE_S
    until = one.ended_at + UNSOUND_AFTER_S
    return any(
        fault.target in hosts_of
        and fault.at <= until
        and fault.until + SLACK_S >= since
        for fault in [
            *records.disturbances,
            *records.cuts,
            *records.strandings,
        ]
    ) or any(
        since <= at <= until
        for name in used
        for at in records.unsound.get(name, ())
    )


@promise('leaving')
def leaving(records: ledger.Ledger) -> Iterator[str]:
    """A host that is told to leave ends what it took in, in time."""
    for gone in records.exits:
        late_at = gone.told_at + hosts.GRACE_S + SLACK_S
        if gone.gone_at is None or gone.gone_at > late_at:
            yield f'{gone.host} is there after {hosts.GRACE_S} s'
        elif gone.code != 0:
            yield f'{gone.host} ended with {gone.code}'
        for one in records.outcomes:
            is_open = one.asked_at < gone.told_at < one.ended_at
            if one.host == gone.host and is_open and one.problem == 'closed':
                if not _is_broken(records, one):
                    yield f'{one.request_id} was cut by {gone.host} leaving'


@promise('late')
def late(records: ledger.Ledger) -> Iterator[str]:
    """A host that leaves cuts nothing that came after the signal."""
    ran = _runs(records)
    for gone in records.exits:
        last_at = gone.told_at + hosts.GRACE_S * (1.0 - LAST_SHARE)
        for one in records.outcomes:
            is_cut = (
                one.host == gone.host
                and one.problem == 'closed'
                and gone.told_at <= one.asked_at
                and one.ended_at <= (gone.gone_at or 0.0) + SLACK_S
                and one.request_id in ran
            )
            is_excused = (
                one.asked_at <= gone.told_at + TAKEN_S
                and one.ended_at >= last_at
            )
            if is_cut and not is_excused and not _is_broken(records, one):
                yield f'{one.request_id} ({one.kind}) was cut by {gone.host}'


@promise('slow')
def slow(records: ledger.Ledger) -> Iterator[str]:
    """What a peer reads slowly comes whole, where nothing else concerns it.

    The deadline may end it, as many wait for the same runners.
    """
    ran = _runs(records)
    for one in records.outcomes:
        is_slow = one.kind in clients.SLOW_KINDS
        if not is_slow or _is_served(one) or one.request_id not in ran:
            continue
        if one.problem == 'deadline':
            continue
        leaves = any(
            gone.host == one.host
            and gone.told_at <= one.ended_at
            and (gone.gone_at is None or gone.gone_at >= one.asked_at)
            for gone in records.exits
        )
        if not leaves and not _is_broken(records, one):
            yield (
                f'{one.request_id} ({one.kind}) at {one.host} ended with '
                f'{one.status}, {one.problem}'
            )


def _is_broken(records: ledger.Ledger, one: ledger.Outcome) -> bool:
    """Tell whether a fault beside the signal may have cut a request."""
    used = {
        arrival.runner
        for arrival in records.arrivals
        if arrival.request_id == one.request_id
    }
    return one.request_id in records.broken_off or _is_concerned(
        records, one, {one.request_id: used}
    )


@promise('alive')
def alive(records: ledger.Ledger) -> Iterator[str]:
    """No host ends by itself."""
    for gone in records.crashes:
        yield f'{gone.host} ended by itself with {gone.code}'


@promise('recovery')
def recovery(records: ledger.Ledger) -> Iterator[str]:
    """All kinds are served by all hosts soon after the last fault."""
    if records.recovered_at is None:
        yield f'not within {RECOVERY_S} s: {records.unserved}'
