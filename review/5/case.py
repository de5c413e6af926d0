"""Channels to the store go silent while two machines are taken away."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import pathlib
import signal
import sys
import time

import harness

from standins import silent

FOLDER = pathlib.Path(__file__).resolve().parent
# The machines that are taken away as planned, and those that stay.
TAKEN, LEFT = ("f1", "f2"), ("f3", "f4", "f5")
# From one stop to the next.
GAP_S = 1.3
CONTACT_S = 3.0
APPLY_S = 2.0
REVOKE_S = 5.0
# From the moment at which machines are in touch again to the change.
MARGIN_S = 0.5
PAUSE_S = 0.1
WATCHED_S = 14.0
NEW_KEY = "second-key-of-acme"
DROPPED = "/read/"


def play(made: harness.Deployment) -> str:
    """Play the case; return how the rule was broken."""
    made.start_store()
    for name, service in (("w1", "push"), ("w2", "push"), ("w3", "llm")):
        made.add_worker(name, service)
        made.announce(name)
    made.configure()
    relay = silent.Relay(to=made.store)
    for name in (*TAKEN, *LEFT):
        made.add_entry(name, platform=f"http://{relay.address}")
    for name in (*TAKEN, *LEFT):
        made.start_entry(name)
    time.sleep(3.0)
    made.configure(tenants=[tenant(harness.KEY, NEW_KEY)])
    made.note("a desired state that adds a key is acknowledged")
    time.sleep(0.5)
    if harness.TROUBLE:
        made.note(f"{relay.go_silent()} channels to the store go silent")
    silent_at = time.monotonic()
    take_away(made)
    in_touch = silent_at + CONTACT_S + MARGIN_S
    time.sleep(max(MARGIN_S, in_touch - time.monotonic()))
    kept = [r for r in made.config["routes"] if r["prefix"] != DROPPED]
    made.configure(tenants=[tenant(NEW_KEY)], routes=kept)
    acked = time.monotonic()
    made.note(f"one without the first key and {DROPPED} is acknowledged")
    while time.monotonic() < acked + WATCHED_S:
        for name in LEFT:
            new = {"Authorization": f"Bearer {NEW_KEY}"}
            made.ask(name, f"{DROPPED}x", method="GET", body=b"", headers=new)
            made.ask(name, "/push/old-key")
        time.sleep(PAUSE_S)
    return judge(made, acked)


def take_away(made: harness.Deployment) -> None:
    """Stop machines in order, and for good."""
    for name in TAKEN:
        made.note(f"{name} gets SIGTERM")
        made.signal(name, signal.SIGTERM)
        time.sleep(GAP_S)
    for name in TAKEN:
        harness.wait_for(
            lambda n=name: made.status(n) is not None, f"{name} to stop"
        )
        made.note(f"{name} has stopped")


def tenant(*keys: str) -> dict[str, object]:
    """Return the tenant with some keys."""
    return {"name": "acme", "api_keys": keys, "prio": 1}


def judge(made: harness.Deployment, acked: float) -> str:
    """Count the requests that only the older version allows."""
    routed = late_runs(made, DROPPED, acked + APPLY_S)
    keyed = late_runs(made, "/push/old-key", acked + REVOKE_S)
    made.note(f"run on the dropped route after {APPLY_S} s: {len(routed)}")
    made.note(f"run with the dropped key after {REVOKE_S} s: {len(keyed)}")
    if not routed:
        return ""
    last_s = max(row.at for row in routed) - acked
    return (
        f"{len(routed)} requests on a dropped route were run, sent up to "
        f"{last_s:.1f} s after the acknowledgement"
    )


def late_runs(
    made: harness.Deployment, path: str, due: float
) -> list[harness.Answer]:
    """Return the requests of a path that were run though sent too late."""
    asked = [row for row in made.answers if row.path.startswith(path)]
    return [row for row in asked if row.at > due and row.status == 200]


if __name__ == "__main__":
    sys.exit(harness.play(FOLDER, play))
