"""Steps on parts of prompts that crash upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when

from standins import fleet, mixed_callers, process

CONTACT_S = 3.0
CRASHES = 5
# Seconds of sound traffic before, and of both kinds of traffic.
BEFORE_S = 3.0
BESIDE_S = 14.0
SOUND_PER_S = 12.0
CRASHING_PER_S = 1.5
PREFILL_S = 0.08
FEWEST_SOUND = 20


@given(
    "a fleet of {workers:d} workers that come back after a crash and "
    "{count:d} entries"
)
def _(context, workers, count):
    made = fleet.Fleet(workers=(("llm", "a"),) * workers, entries=count)
    context.cluster = made.__enter__()
    for name in made.workers:
        made.control_worker(name, prefill_s=PREFILL_S)


@given("prompts with a part in the {place} crash workers by {way}")
def _(context, place, way):
    made = context.cluster
    for name in made.workers:
        made.control_worker(name, part=mixed_callers.CRASHING, death=way)
    context.callers = mixed_callers.Callers(
        made, crashing_first=place == "first"
    )


@when("sound requests come alone and then with requests that crash workers")
def _(context):
    callers = context.callers
    callers.run(mixed_callers.Rates(SOUND_PER_S), BEFORE_S)
    rates = mixed_callers.Rates(SOUND_PER_S, CRASHING_PER_S)
    callers.run(rates, BESIDE_S)
    _read_ledgers(context)


def _read_ledgers(context):
    """Read what reached the workers, once all are back."""
    made = context.cluster
    rows = []
    for name in made.workers:
        process.wait_for(lambda n=name: made.answers(made.address[n]), name)
        rows.append(made.worker(name))
    context.crashed_at = sorted(
        r["at"] for row in rows for r in row["crashes"]
    )
    context.reached_at = sorted(
        r["at"]
        for row in rows
        for r in row["reached"]
        if mixed_callers.CRASHING in r["parts"]
    )


@then(
    "at most {most:d} requests with that part reach workers later than "
    "{seconds:d} s after the fifth crash"
)
def _(context, most, seconds):
    crashed_at = context.crashed_at
    assert len(crashed_at) >= 3, "the part has crashed too few workers"
    if len(crashed_at) < CRASHES:
        return
    bound = crashed_at[CRASHES - 1] + seconds
    late = [at for at in context.reached_at if at > bound]
    assert len(late) <= most, (len(crashed_at), len(late))


@then("sound requests are still answered at least half as often as before")
def _(context):
    last = context.crashed_at[:CRASHES][-1]
    sound = [row for row in context.callers.sent if not row.crashing]
    first_crashing = min(r.at for r in context.callers.sent if r.crashing)
    before = [row for row in sound if row.at < first_crashing]
    after = [row for row in sound if row.at > last + 2 * CONTACT_S]
    assert min(len(before), len(after)) >= FEWEST_SOUND, len(after)
    shares = [
        sum(r.whole for r in rows) / len(rows) for rows in (before, after)
    ]
    assert shares[1] >= shares[0] / 2, shares
