"""What a host learns of its runners, and when one will answer a request.

Load pattern: a host sends one request a second to 45 engines, thus each of
them hears from it once in 45 s. What all engines of a service have in common
is learned from all answers; an engine's own speed from its few answers,
weighted against the service's mean.
"""

import math

import msgspec

from ragwort_relay import _fleet
from ragwort_relay import _regression
from ragwort_relay import _routes

# Seconds to read a token before anything was learned: both known kinds of
# engine read 31 to 38 tokens a ms.
READ_S_PER_TOKEN = 1.0 / 35_000.0
# Seconds that a running call adds to another one, as the earlier rule has it.
CALL_S = 0.0015
# Time to first event that depends on neither tokens nor load.
BASE_S = 0.02
# Share of a runner's places from which on it is nearly full, and how much
# slower it reads when full: assumed until it was learned.
NEARLY_FULL_SHARE = 0.8
FULL_SLOWDOWN = 0.5
# Typical time of a plain call before one has ended, in seconds.
PLAIN_S = 0.05
# Age at which a reported pace says nothing more: machines change their pace
# each 600 ms.
PACE_AGE_S = 0.6
# Shortest time in which the calls that a runner reported are replaced.
MIN_LOAD_AGE_S = 1.0
# Samples that the service's mean counts for against a runner's own. With 1.5
# hosts left the holders of prompts for runners that chance made look fast: in
# replays 0.64 of the requests went to the better runner, now 0.71.
PRIOR_SAMPLES = 10.0
# The same for the number of other hosts' calls, which changes within seconds.
LOAD_PRIOR_SAMPLES = 8.0
# Weight of a runner's earlier samples when a new one comes; a runner that
# slows is known after about ten.
SAMPLE_RETENTION = 0.9
# Largest factor that one sample may say of a runner's speed.
MAX_SPEED_FACTOR = 4.0
# Weight of the latest sample in the means of a service.
MEAN_WEIGHT = 0.02
# Samples that the assumption that held parts are still there counts for.
HELD_PRIOR_SAMPLES = 10.0
# Tokens that must be in question to tell from a time if they were held.
MIN_TELLING_TOKENS = 1000
MIN_SAMPLE_S = 0.001
# A first event is late after this multiple of the expected time, and at least
# this time: machines are 2.5 times slower at times without a queue.
LATE_FACTOR = 3.0
MIN_LATE_S = 0.3
# Time until a late first event says nothing more of the wait at a runner.
# Until then a host would try a full holder again, once in a few seconds.
LATE_MEMORY_S = 30.0


class Work(msgspec.Struct, frozen=True):
    """A request as a runner sees it.

    tokens are those of its prompt that the runner must read, None if it is
    no prompt; transfer_s is the time to fetch the results of its stages.
    """

    tokens: float | None = None
    transfer_s: float = 0.0


class Expected(msgspec.Struct, frozen=True):
    """Expected time to the first event, by what takes it.

    wait_s is due to other calls, work_s to the request's own tokens.
    """

    wait_s: float
    work_s: float
    transfer_s: float

    @property
    def total_s(self) -> float:
        """Return the whole time."""
        return self.wait_s + self.work_s + self.transfer_s


class SentWork(msgspec.Struct, frozen=True):
    """Work sent to a runner, with what was known when it was sent.

    held_tokens are those that the runner was expected to hold, expected_s the
    time until the first event.
    """

    runner: _fleet.FleetRunner
    work: Work
    held_tokens: float
    load: float
    expected_s: float = 0.0


class _Mean(msgspec.Struct):
    """A mean of samples, of which older ones count less."""

    value: float = 0.0
    samples: float = 0.0

    def add(self, value: float, retention: float) -> None:
        """Add a sample."""
        total = self.samples * retention
        self.samples = total + 1.0
        self.value += (value - self.value) / self.samples

    def toward(self, prior: float, weight: float) -> float:
        """Return the mean with a prior that counts for some samples."""
        total = self.samples + weight
        return (self.value * self.samples + prior * weight) / total


class _RunnerStatistics(msgspec.Struct):
    """What was learned of one incarnation of a runner.

    speed_log is the logarithm of its time against the service's, pace the
    mean of the paces that it sent, others the calls of other hosts. late_at
    are the times from which on the first events not yet received are late;
    late_s is by how much one was late that came at late_heard_at.
    """

    started_ms: int
    speed_log: _Mean = msgspec.field(default_factory=_Mean)
    pace: _Mean = msgspec.field(default_factory=_Mean)
    others: _Mean = msgspec.field(default_factory=_Mean)
    late_at: list[float] = []
    late_s: float = 0.0
    late_heard_at: float = -math.inf

    def known_late_s(self, now: float) -> float:
        """Return by how much a first event will likely be late."""
        age_s = now - self.late_heard_at
        late_s = self.late_s * max(1.0 - age_s / LATE_MEMORY_S, 0.0)
        return max(late_s, now - min(self.late_at, default=now), 0.0)


class _ServiceStatistics:
    """What was learned of all runners of a service."""

    def __init__(self) -> None:
        """Start with the constants of known engines."""
        per_thousand = 1000.0 * READ_S_PER_TOKEN
        full = per_thousand * FULL_SLOWDOWN
        # For each prompt, 1000 tokens, running call, and 1000 tokens at a
        # full runner.
        self.times = _regression.PriorRegression(
            (BASE_S, per_thousand, CALL_S, full),
            (0.05, per_thousand / 3, CALL_S, full),
        )
        self.pace = _Mean()
        self.others = _Mean()
        self.plain_s = _Mean()
        self.call_s = _Mean()
        self.call_tokens = _Mean()
        self.held_share = _Mean()


class RunnerModels:
    """Models of the runners of all services for which they are on.

    They are on for a service once a runner of it has sent its pace, or for
    all if is_forced.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self.is_forced = False
        self.paced_services: set[str] = set()
        self.services: dict[str, _ServiceStatistics] = {}
        self.runners: dict[str, _RunnerStatistics] = {}
        self.engines: dict[str, _routes.EngineSpec] = {}

    def is_on(self, service: str) -> bool:
        """Tell whether a service's runners are chosen by their models."""
        return self.is_forced or service in self.paced_services

    def remove(self, name: str) -> None:
        """Remove a runner that is gone or restarted."""
        self.runners.pop(name, None)

    # What runners say.

    def on_report(self, runner: _fleet.FleetRunner) -> None:
        """Learn from the load report that a runner has just sent."""
        report = runner.state.report
        service_name = runner.entry.runner.service
        if report is None:
            return
        if report.pace is not None:
            self.paced_services.add(service_name)
        if not self.is_on(service_name):
            return
        service, own = self._service(service_name), self._own(runner)
        others = float(
            max(
                report.running
                + report.queued
                - runner.state.inflight_at_report,
                0,
            )
        )
        service.others.add(others, 1.0 - MEAN_WEIGHT)
        own.others.add(others, SAMPLE_RETENTION)
        if report.pace is not None:
            service.pace.add(report.pace, 1.0 - MEAN_WEIGHT)
            own.pace.add(report.pace, SAMPLE_RETENTION)

    def on_send(self, sent: SentWork, now: float) -> None:
        """Record that a first event is expected from now on."""
        self._own(sent.runner).late_at.append(_late_at(sent, now))

    def on_send_over(self, sent: SentWork, sent_at: float, now: float) -> None:
        """Record that a first event came, or is expected no more."""
        own, late_at = self._own(sent.runner), _late_at(sent, sent_at)
        if late_at not in own.late_at:
            return
        own.late_at.remove(late_at)
        late_s = max(now - late_at, 0.0)
        if late_s >= own.known_late_s(now):
            own.late_s, own.late_heard_at = late_s, now
        elif not late_s:
            own.late_s /= 2.0

    def on_first_event(
        self, sent: SentWork, took_s: float, now: float
    ) -> float | None:
        """Learn from the time from a send to the first event.

        Return the share of the held tokens that the runner seems to have
        held, None if the time does not tell.
        """
        tokens = sent.work.tokens or 0.0
        service = self._service(sent.runner.entry.runner.service)
        prompt_tokens = tokens + sent.held_tokens
        factor = self._factor(sent.runner, now)
        time_s = max(took_s - sent.work.transfer_s, MIN_SAMPLE_S) / factor
        # The load that the answer tells is newer than that when it was sent.
        load = self.load(sent.runner, now) - 1.0
        load = max(load if sent.runner.state.report else sent.load, 0.0)
        share = load / self.places(sent.runner)
        held = None
        if sent.held_tokens >= MIN_TELLING_TOKENS:
            gone_s, held_s = (
                service.times.expect(_features(count, load, share))
                for count in (prompt_tokens, tokens)
            )
            held = (gone_s - time_s) / max(gone_s - held_s, MIN_SAMPLE_S)
            held = min(max(held, 0.0), 1.0)
            tokens += sent.held_tokens * (
                1.0 - self.held_share(sent.runner.entry.runner.service)
            )
            service.held_share.add(held, 1.0 - MEAN_WEIGHT)
        # Calls share the memory of the parts that they have in common.
        service.call_tokens.add(tokens, 1.0 - MEAN_WEIGHT)
        features = _features(tokens, load, share)
        expected_s = service.times.expect(features)
        self._learn_speed(sent.runner, factor * time_s, expected_s)
        service.times.learn(features, time_s)
        return held

    def on_answer(self, sent: SentWork, took_s: float, now: float) -> None:
        """Learn from the time of a complete answer of a plain service."""
        service = self._service(sent.runner.entry.runner.service)
        factor = self._factor(sent.runner, now)
        crowd = max(1.0, (sent.load + 1.0) / self.places(sent.runner))
        net_s = max(took_s - sent.work.transfer_s, MIN_SAMPLE_S) / crowd
        if service.plain_s.samples:
            self._learn_speed(sent.runner, net_s, service.plain_s.value)
        service.plain_s.add(net_s / factor, 1.0 - MEAN_WEIGHT)

    def on_call_end(self, runner: _fleet.FleetRunner, took_s: float) -> None:
        """Learn how long a call occupies its place at a runner."""
        service = self._service(runner.entry.runner.service)
        service.call_s.add(took_s, 1.0 - MEAN_WEIGHT)

    def _learn_speed(
        self, runner: _fleet.FleetRunner, time_s: float, expected_s: float
    ) -> None:
        """Learn a runner's speed from a time and what others would take.

        The pace at that time is divided out of it.
        """
        report = runner.state.report
        usual = self._usual_pace(runner)
        pace = report.pace if report and report.pace is not None else usual
        factor = time_s / max(expected_s, MIN_SAMPLE_S) / pace
        factor = min(max(factor, 1.0 / MAX_SPEED_FACTOR), MAX_SPEED_FACTOR)
        own = self._own(runner)
        own.speed_log.add(math.log(factor), SAMPLE_RETENTION)

    # What to expect.

    def expect(
        self, runner: _fleet.FleetRunner, work: Work, now: float
    ) -> Expected:
        """Return the expected time to the first event of a request."""
        service = self._service(runner.entry.runner.service)
        load = self.load(runner, now)
        factor = self._factor(runner, now)
        if work.tokens is None:
            plain_s = service.plain_s.toward(PLAIN_S, PRIOR_SAMPLES) * factor
            crowd = max(1.0, (load + 1.0) / self.places(runner))
            wait_s = plain_s * (crowd - 1.0)
            return Expected(wait_s, plain_s, work.transfer_s)
        share = load / self.places(runner)
        features = _features(work.tokens, load, share)
        idle_s = service.times.expect(_features(work.tokens, 0.0, 0.0))
        busy_s = service.times.expect(features)
        return Expected(
            (busy_s - idle_s) * factor
            + self._place_wait_s(runner, load)
            + self._own(runner).known_late_s(now),
            idle_s * factor,
            work.transfer_s,
        )

    def read_s(self, service: str, tokens: float) -> float:
        """Return the time in which a service's runners read some tokens."""
        per_thousand = self._service(service).times.coefficients[1]
        return tokens * per_thousand / 1000.0

    def load(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return the expected calls at a runner.

        Those of other hosts approach the runner's usual number as the last
        report gets older than calls last.
        """
        state = runner.state
        service = self._service(runner.entry.runner.service)
        usual = self._own(runner).others.toward(
            service.others.value, LOAD_PRIOR_SAMPLES
        )
        if state.report is None:
            return state.inflight + usual
        report = state.report
        reported = report.running + report.queued - state.inflight_at_report
        age_s = now - state.reported_at + report.age_s
        lasting_s = max(service.call_s.value, MIN_LOAD_AGE_S)
        weight = math.exp(-max(age_s, 0.0) / lasting_s)
        return state.inflight + usual + (max(reported, 0) - usual) * weight

    def free_tokens(
        self, runner: _fleet.FleetRunner, now: float
    ) -> int | None:
        """Return how many tokens of held parts a runner has memory for.

        None means that its memory is not known.
        """
        service = runner.entry.runner.service
        engine = self.engines.get(service)
        if engine is None:
            return None
        per_call = self._service(service).call_tokens.value
        taken = self.load(runner, now) * per_call
        return max(int(engine.cache_tokens - taken), 0)

    def held_share(self, service: str) -> float:
        """Return the share of tokens expected to be held that are."""
        return self._service(service).held_share.toward(
            1.0, HELD_PRIOR_SAMPLES
        )

    def pace(self, runner: _fleet.FleetRunner, now: float) -> float:
        """Return the expected pace: the reported one while it is new."""
        state = runner.state
        usual = self._usual_pace(runner)
        if state.report is None or state.report.pace is None:
            return usual
        age_s = now - state.reported_at + state.report.age_s
        weight = min(max(1.0 - age_s / PACE_AGE_S, 0.0), 1.0)
        return usual + (state.report.pace - usual) * weight

    def places(self, runner: _fleet.FleetRunner) -> int:
        """Return how many calls a runner works on at once."""
        report = runner.state.report
        engine = self.engines.get(runner.entry.runner.service)
        if report is not None and report.slots:
            return report.slots
        if engine is not None and engine.slots is not None:
            return engine.slots
        return max(runner.entry.slots, 1)

    def speed(self, runner: _fleet.FleetRunner) -> float:
        """Return a runner's usual time against the service's mean."""
        own = self._own(runner)
        return math.exp(own.speed_log.toward(0.0, PRIOR_SAMPLES))

    def _usual_pace(self, runner: _fleet.FleetRunner) -> float:
        service = self._service(runner.entry.runner.service)
        mean = service.pace.toward(1.0, PRIOR_SAMPLES)
        return self._own(runner).pace.toward(mean, PRIOR_SAMPLES)

    def _factor(self, runner: _fleet.FleetRunner, now: float) -> float:
        return self.speed(runner) * self.pace(runner, now)

    def _place_wait_s(self, runner: _fleet.FleetRunner, load: float) -> float:
        """Return the wait for a place if calls take all of them."""
        places = self.places(runner)
        behind = max(load + 1.0 - places, 0.0)
        call_s = self._service(runner.entry.runner.service).call_s.value
        return behind * call_s / places

    def _service(self, name: str) -> _ServiceStatistics:
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = _ServiceStatistics()
        return found

    def _own(self, runner: _fleet.FleetRunner) -> _RunnerStatistics:
        started_ms = runner.entry.started_ms
        found = self.runners.get(runner.name)
        if found is None or found.started_ms != started_ms:
            found = self.runners[runner.name] = _RunnerStatistics(started_ms)
        return found


def _features(
    tokens: float, load: float, share: float
) -> tuple[float, float, float, float]:
    thousands = tokens / 1000.0
    full = (share - NEARLY_FULL_SHARE) / (1.0 - NEARLY_FULL_SHARE)
    return 1.0, thousands, load, thousands * min(max(full, 0.0), 1.0)


def _late_at(sent: SentWork, sent_at: float) -> float:
    """Return from when on the first event of a request is late."""
    return sent_at + max(LATE_FACTOR * sent.expected_s, MIN_LATE_S)
