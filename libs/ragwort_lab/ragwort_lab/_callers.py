"""Submissions to nodes, and what comes back to their callers."""

from collections.abc import Callable
import typing
from typing import Any

import ragwort_fakes as fakes
from ragwort_lab import _trace
from ragwort_lab import _world_parts
import ragwort_model as model
import ragwort_node as node
import ragwort_wire as wire

if typing.TYPE_CHECKING:
    from ragwort_lab import _world


class Callers:
    """Submissions to nodes, and what comes back to their callers."""

    def __init__(self, world: '_world.World') -> None:
        """Belong to a world."""
        self.world = world
        self.subscribers: dict[str, _trace.Submission] = {}

    def submit(
        self,
        name: str,
        class_of_work: str,
        text: str,
        workspace: str = 'app',
        key: str | None = None,
        deadline_s: float | None = None,
    ) -> _trace.Submission:
        """Send a request to a node and return where its answer lands."""
        classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
        if deadline_s is None:
            deadline_s = classes[class_of_work][2]
        if key is None:
            key = model.request_key_at(self.world.wall(), self.world.rng)
        submission = self._new_submission(
            name, key, class_of_work, text, deadline_s
        )
        body = wire.encode_json(
            wire.RequestRecord(
                class_of_work,
                workspace,
                key,
                max(1, int(deadline_s * 1000)),
                text,
            )
        )
        request = wire.parse_request(body)
        subscriber = self._subscribe(submission)
        self._deliver(
            submission,
            lambda s: s.core.submit(
                request, subscriber, self.world.clock(s), self.world.day(s)
            ),
        )
        return submission

    def resume_stream(
        self, name: str, submission: _trace.Submission
    ) -> _trace.Submission:
        """Ask a node for the rest of a stream that broke off."""
        resumed = self._new_submission(
            name,
            submission.key,
            submission.class_of_work,
            submission.text,
            submission.deadline_s,
        )
        resumed.resumed = True
        resumed.from_seq = len(submission.chunks)
        subscriber = self._subscribe(resumed)
        host = submission.accepted_host
        self._deliver(
            resumed,
            lambda s: s.core.follow(
                resumed.key,
                host,
                resumed.from_seq,
                subscriber,
                self.world.clock(s),
            ),
        )
        return resumed

    def _new_submission(
        self,
        name: str,
        key: str,
        class_of_work: str,
        text: str,
        deadline_s: float,
    ) -> _trace.Submission:
        submission = _trace.Submission(
            key,
            class_of_work,
            text,
            name,
            self.world.nodes[name].epoch,
            self.world.now,
            deadline_s,
        )
        self.world.trace.submissions.append(submission)
        return submission

    def _subscribe(self, submission: _trace.Submission) -> str:
        subscriber = f'caller-{len(self.subscribers) + 1}'
        self.subscribers[subscriber] = submission
        return subscriber

    def _deliver(
        self,
        submission: _trace.Submission,
        event: Callable[[_world_parts.NodeSlot], Any],
    ) -> None:
        slot = self.world.nodes[submission.host]
        if not slot.alive:
            submission.broken = True
            return
        self.world.on_node(submission.host, slot.epoch, event)

    def answer(self, effect: model.AnswerCaller) -> None:
        submission = self.subscribers[effect.subscriber]
        if submission.broken:
            return
        if submission.told_at is not None:
            submission.after_end += 1
            return
        match effect.event:
            case model.Accepted():
                submission.accepted_host = effect.event.host
            case model.Chunk():
                event = effect.event
                submission.chunks.append((event.seq, event.data))
            case model.End():
                submission.end = effect.event
                submission.told_at = self.world.now

    def refuse(self, effect: node.RefuseCaller) -> None:
        submission = self.subscribers[effect.subscriber]
        if submission.told_at is not None:
            submission.after_end += 1
        submission.refusal = effect
        submission.told_at = self.world.now
