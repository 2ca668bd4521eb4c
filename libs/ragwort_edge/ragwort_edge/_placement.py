"""Choice of a request's runner, and what a host learns from its answer."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from ragwort_edge import _context
from ragwort_edge import _dialect
import ragwort_relay as relay

# Share of the held tokens below which they count as gone.
GONE_SHARE = 0.5


class Placement:
    """Places one request, which may be sent more than once."""

    def __init__(
        self,
        context: _context.RelayContext,
        metadata: _dialect.RequestMetadata,
        route: relay.Route,
        log_fields: dict[str, Any],
    ) -> None:
        """Prepare to place a request; log_fields are those of its log line."""
        self.context = context
        self.metadata = metadata
        self.route = route
        self.log_fields = log_fields
        # Of the latest choice, None if the models are off.
        self.trade: relay.PromptTrade | None = None
        self.sent: relay.SentWork | None = None
        # What has no first event yet, and when it was sent.
        self.waiting: tuple[relay.SentWork, float] | None = None

    def choose(
        self,
        candidates: Sequence[relay.FleetRunner],
        input_bytes: Mapping[str, float],
        now: float,
    ) -> relay.FleetRunner:
        """Return the runner that is expected to answer first."""
        catalog = self.context.catalog
        service = candidates[0].entry.runner.service
        models = catalog.models_for(service)
        prompt, sharing = self.metadata.prompt, catalog.prompt_sharing
        home = sharing.home(self.route.name, prompt) if prompt else None
        if prompt and home is None:
            # What a cold runner takes is left to prompts that will recur.
            candidates = catalog.warm_of(candidates, now)
        view = relay.PromptView(
            prompt, home, catalog.prompt_cache, input_bytes
        )
        if prompt:
            runner, estimates = relay.choose_by_prompt_cache(
                candidates,
                view.prompt,
                view.home,
                view.prompt_cache,
                view.input_bytes,
                self.metadata.request_id,
                sharing.hosts,
                now,
                models,
            )
        else:
            runner, estimates = relay.choose_by_load(
                candidates,
                self.context.failure_domain,
                self.metadata.request_id,
                now,
                models,
            )
        self._log_choice(runner, estimates, now)
        if models is not None:
            self._weigh(runner, candidates, view, models, now)
        return runner

    def _log_choice(
        self,
        runner: relay.FleetRunner,
        estimates: Mapping[str, float],
        now: float,
    ) -> None:
        fields = self.log_fields
        fields['runner'] = runner.name
        fields['software_version'] = runner.entry.runner.software_version
        if runner.state.report is not None:
            age_s = now - runner.state.reported_at
            fields['report_age_s'] = round(age_s, 3)
        fields['estimates'] = {
            name: round(value, 3) for name, value in estimates.items()
        }

    def _weigh(
        self,
        runner: relay.FleetRunner,
        candidates: Sequence[relay.FleetRunner],
        view: relay.PromptView,
        models: relay.RunnerModels,
        now: float,
    ) -> None:
        """Keep what was known, to learn from it, and log both sides."""
        if not view.prompt:
            load = models.load(runner, now)
            self.sent = relay.SentWork(runner, relay.Work(), 0.0, load)
            return
        trade = relay.prompt_trade(runner, candidates, view, models, now)
        self.trade, self.sent = trade, trade.sent
        self.log_fields['saved_s'] = round(trade.chosen.saved_s, 3)
        self.log_fields['wait_s'] = round(trade.chosen.wait_s, 3)
        self.log_fields['holder'] = trade.holder.runner
        self.log_fields['holder_saved_s'] = round(trade.holder.saved_s, 3)
        self.log_fields['holder_wait_s'] = round(trade.holder.wait_s, 3)

    def on_send(self, now: float) -> None:
        """Record that the latest choice is sent a stream."""
        self.waiting = None
        if self.trade is not None and self.metadata.last_event is None:
            self.waiting = self.trade.sent, now
            self.context.catalog.runner_models.on_send(self.trade.sent, now)

    def on_send_over(self, now: float) -> None:
        """Record that the first event came or will not come any more."""
        if self.waiting is not None:
            sent, sent_at = self.waiting
            self.waiting = None
            models = self.context.catalog.runner_models
            models.on_send_over(sent, sent_at, now)

    def on_first_event(
        self, runner: relay.FleetRunner, took_s: float, now: float
    ) -> None:
        """Learn from a stream's first event, unless it was taken up.

        A stream taken up again repeats events that the caller has.
        """
        self.on_send_over(now)
        sent, trade = self.sent, self.trade
        if sent is None or sent.runner is not runner:
            return
        if self.metadata.last_event is not None:
            return
        self.sent = None
        models = self.context.catalog.runner_models
        if trade is None:
            models.on_answer(sent, took_s, now)
            return
        held = models.on_first_event(sent, took_s, now)
        outcome, again = trade.outcome, trade.lost_tokens
        if held is not None:
            again += (1.0 - held) * sent.held_tokens
            self.log_fields['held_share'] = round(held, 2)
        if outcome == relay.TradeOutcome.HOLDER and (held or 0.0) < GONE_SHARE:
            outcome = relay.TradeOutcome.GONE
        service = runner.entry.runner.service
        metrics = self.context.metrics
        metrics.held_prompts.labels(service, outcome).inc()
        metrics.tokens_read_again.labels(service).observe(again)

    def on_answer(
        self, runner: relay.FleetRunner, took_s: float, now: float
    ) -> None:
        """Learn from a complete answer that is no stream."""
        sent, self.sent = self.sent, None
        if sent is None or sent.runner is not runner or self.trade is not None:
            return
        self.context.catalog.runner_models.on_answer(sent, took_s, now)

    def on_call_end(self, runner: relay.FleetRunner, took_s: float) -> None:
        """Learn how long a stream occupied its place."""
        models = self.context.catalog.models_for(runner.entry.runner.service)
        if models is not None:
            models.on_call_end(runner, took_s)
