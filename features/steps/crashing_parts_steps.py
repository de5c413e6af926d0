"""Steps on parts of prompts that crash upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when

from standins import fleet, mixed_callers, soak_parts

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
    context.ledger = soak_parts.read_ledger(context.cluster)


@then(
    "at most {most:d} requests with that part reach workers later than "
    "{seconds:d} s after the fifth crash"
)
def _(context, most, seconds):
    assert seconds == soak_parts.CONTACT_S
    crashes = len(context.ledger.crashed_at)
    assert crashes >= 3, "the part has crashed too few workers"
    assert context.ledger.late <= most, (crashes, context.ledger.late)


@then("sound requests are still answered at least half as often as before")
def _(context):
    before, after = soak_parts.sound_shares(context.callers, context.ledger)
    assert min(len(before), len(after)) >= FEWEST_SOUND, len(after)
    shares = [sum(rows) / len(rows) for rows in (before, after)]
    assert shares[1] >= shares[0] / 2, shares


@when("seed {seed:d} of the soak with crashing parts is run")
def _(context, seed):
    context.broken = soak_parts.run(seed)


@then("the soak has found nothing broken")
def _(context):
    assert context.broken == [], context.broken
