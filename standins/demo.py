"""The demo: two halls, a completion, a service call, a new model version.

Prints an account of what happens; the exit status is 0 only if all of it
was right.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import sys
import time

import httpx

from . import cluster, engine

PROMPT = "A parcel waits at the door"
TOKENS = 24


def main() -> int:
    """Run the demo; return the exit status."""
    started = time.monotonic()
    with cluster.Cluster(entries=2, engines=1, services=1) as made:
        print(f"{len(made.processes)} processes run on loopback.")
        checks = [
            _completion(made),
            _service(made),
            _new_version(made),
            _mixed(made),
            _stop(made),
        ]
    print(f"The demo took {time.monotonic() - started:.1f} s.")
    print("All was right." if all(checks) else "Something was wrong.")
    return 0 if all(checks) else 1


def _completion(made: cluster.Cluster) -> bool:
    entry = made.entries[0][0]
    url = f"{made.http[entry]}/v1/completions"
    data = {"model": "m1", "prompt": PROMPT, "max_tokens": TOKENS}
    data["stream"] = True
    text = []
    print(f"Streaming a completion through entry {entry}:")
    with httpx.stream(
        "POST", url, json=data, headers=made.headers()
    ) as answer:
        for line in answer.iter_lines():
            if line.startswith("data: {"):
                event = httpx.Response(200, content=line[6:]).json()
                text.append(event["choices"][0]["text"])
        outcome = answer.headers["reelscale-outcome"]
    print(f"  {''.join(text)}")
    right = "".join(text) == engine.expected(PROMPT, TOKENS)
    print(f"  outcome: {outcome}, whole and as expected: {right}")
    return right and outcome == "ran"


def _service(made: cluster.Cluster) -> bool:
    entry = made.entries[-1][0]
    got = made.call(entry, "/balance?of=7")
    print(f"Calling a plain service through entry {entry}: {got.status_code}")
    return got.is_success and got.json()["path"] == "/balance"


def _new_version(made: cluster.Cluster) -> bool:
    change = {"kind": "set-model", "group": "m1", "model_version": "v2"}
    plan = made.plan([change]).json()
    print(f"Plan {plan['id']}: {'; '.join(plan['diff'])}")
    unchanged = set(made.layouts().values()) == {1}
    print(f"  nothing has changed before confirm: {unchanged}")
    start = time.monotonic()
    confirmed = made.confirm(plan["id"]).json()
    accepted = time.monotonic()
    made.wait_in_force(confirmed["offset"])
    known = time.monotonic()
    made.wait_layout(2)
    print(
        f"  accepted at offset {confirmed['offset']} after "
        f"{accepted - start:.3f} s, known to every process after "
        f"{known - start:.3f} s, run by every rank after "
        f"{time.monotonic() - start:.3f} s"
    )
    for name, offset in sorted(made.offsets().items()):
        print(f"    {name}: offset {offset}")
    return unchanged


def _mixed(made: cluster.Cluster) -> bool:
    mixed = made.mixed_steps()
    print(f"Steps on more than one layout: {len(mixed)}")
    return not mixed


def _stop(made: cluster.Cluster) -> bool:
    """Stop entries, then agents, in order."""
    names = [name for name, _ in made.entries]
    names += [name for name, _ in [*made.engines, *made.services]]
    statuses = [made.processes[name].stop() for name in names]
    print(f"Stopped in order, exit statuses: {set(statuses)}")
    return set(statuses) == {0}


if __name__ == "__main__":
    sys.exit(main())
