"""Requests to nodes over HTTP, with the answer checked."""

import dataclasses
import json
import threading
from typing import Any

from features.support import processes
import ragwort_fakes as fakes
import ragwort_model as model


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and the records that came back."""

    key: str
    class_of_work: str
    text: str
    status: int = 0
    records: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    problem: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def end(self) -> dict[str, Any]:
        """Return the end record, empty if there is none."""
        ends = [r for r in self.records if r['type'] == 'end']
        return ends[-1] if ends else {}

    @property
    def outcome(self) -> str:
        """Return the outcome, empty if none was told."""
        return str(self.end.get('outcome') or self.problem.get('outcome', ''))

    @property
    def chunks(self) -> list[str]:
        """Return the chunks in the order of their arrival."""
        return [r['data'] for r in self.records if r['type'] == 'chunk']


def request_body(
    class_of_work: str,
    text: str,
    key: str | None = None,
    deadline_ms: int | None = None,
) -> dict[str, Any]:
    """Return the body of a request of a sample class of work."""
    houle = class_of_work in fakes.HOULE_CLASSES
    classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
    workspaces = fakes.HOULE_WORKSPACES if houle else fakes.CAMPBELL_WORKSPACES
    return {
        'class_of_work': class_of_work,
        'workspace': workspaces[0],
        'key': key or model.new_request_key(),
        'deadline_ms': deadline_ms or int(classes[class_of_work][2] * 1000),
        'input': text,
    }


def exchange(address: str, body: dict[str, Any]) -> Exchange:
    """Send a request and read its stream to the end."""
    done = Exchange(body['key'], body['class_of_work'], body['input'])
    timeout_s = body['deadline_ms'] / 1000 + 5.0
    url = f'http://{address}/v1/requests'
    done.status, content = processes.call_http(url, body, timeout_s)
    if done.status == 200:
        done.records = [json.loads(line) for line in content.splitlines()]
    else:
        done.problem = json.loads(content)
    return done


def exchange_all(
    targets: list[tuple[str, dict[str, Any]]],
) -> list[Exchange]:
    """Send requests to addresses at once and return all exchanges."""
    results: list[Exchange | None] = [None] * len(targets)

    def work(index: int) -> None:
        address, body = targets[index]
        results[index] = exchange(address, body)

    threads = [
        threading.Thread(target=work, args=(index,), daemon=True)
        for index in range(len(targets))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60.0)
    return [result for result in results if result is not None]


def expected_chunks(
    class_of_work: str, text: str, chunks: int = 12
) -> list[str]:
    """Return the one right answer of the stand-ins."""
    classes = {**fakes.HOULE_CLASSES, **fakes.CAMPBELL_CLASSES}
    stages = fakes.PIPELINES[classes[class_of_work][0]]
    services = [
        (name, model.ServiceKind(fakes.SERVICES[name]['kind']))
        for name in stages
    ]
    return fakes.expected_answer(services, text, chunks)


def check_whole(done: Exchange, chunks: int = 12) -> None:
    """Fail unless the answer is complete, in order and its own."""
    assert done.outcome == 'completed', (done.status, done.end, done.problem)
    sequence = [r['seq'] for r in done.records if r['type'] == 'chunk']
    assert sequence == list(range(len(sequence))), sequence
    wanted = expected_chunks(done.class_of_work, done.text, chunks)
    assert done.chunks == wanted, (done.chunks, wanted)
    assert done.end['count'] == len(wanted), done.end
    assert done.end['digest'] == model.content_digest(wanted), done.end
