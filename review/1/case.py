"""A worker's surplus refusal of one request is taken for that of the next.

Three workers of a service and two entries; callers send requests that must
not run twice.  One worker refuses a part of its requests, and sends some of
its answers twice, the second time late, in the place where the next answer on
that connection is due.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402
import workers  # noqa: E402

SERVICE = "push"
HOSTS = ("127.0.0.2", "127.0.0.3")
# Callers at each entry, and how long each sends one request after the other.
CALLERS = 12
LENGTH_S = 12.0
# One worker refuses this share of its requests for so long.
SHED_FROM_S = 2.0
SHED_FOR_S = 6.5
SHED_SHARE = 0.45
# The same worker sends this share of its answers twice for so long.
SURPLUS_FROM_S = 2.5
SURPLUS_FOR_S = 5.0
SURPLUS_SHARE = 0.03
SEED = 1
PROMISES = frozenset((408, 421, 429, 503))


async def case(place: lab.Lab, trouble: bool) -> bool:
    """Play the case; return whether REFUSED and TWICE held."""
    platform = lab.Platform(place.start_store())
    await platform.wait()
    made = [
        workers.Worker(
            place=place,
            name=f"w{number}",
            service=SERVICE,
            slots=6,
            queue=2,
            work_s=0.045,
        )
        for number in (1, 2, 3)
    ]
    for worker in made:
        await worker.listen()
        await platform.announce(worker.name, worker.entry())
    beats = [asyncio.create_task(w.beat(platform)) for w in made]
    attempts = int(os.environ.get("ATTEMPTS", "1"))
    route = lab.route("/push/", "unsafe", SERVICE, attempts=attempts)
    services = [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100}]
    await platform.configure(lab.desired_state(7, [route], services))
    addresses = await lab.start_entries(place, platform, HOSTS)
    began_s = place.now()
    faults = []
    if trouble:
        faults.append(asyncio.create_task(shed(place, made[0])))
        if "SHED_ONLY" not in os.environ:
            spoil(place, made[0], began_s)
    answers: dict[str, int] = {}
    await asyncio.gather(
        *(
            call(place, address, f"{entry:x}{number:x}", began_s, answers)
            for entry, address in enumerate(addresses, 10)
            for number in range(CALLERS)
        )
    )
    await asyncio.sleep(2.0)
    for running in (*beats, *faults):
        running.cancel()
    for worker in made:
        worker.close()
    return verdict(place, made, answers)


async def shed(place: lab.Lab, worker: workers.Worker) -> None:
    """Have a worker refuse a part of its requests for a while."""
    await asyncio.sleep(SHED_FROM_S)
    worker.shed_share = SHED_SHARE
    place.note("sheds", worker=worker.name, share=SHED_SHARE)
    await asyncio.sleep(SHED_FOR_S)
    worker.shed_share = 0.0
    place.note("sheds no more", worker=worker.name)


def spoil(place: lab.Lab, worker: workers.Worker, began_s: float) -> None:
    """Have a worker send some answers twice, the second time late."""
    chance = random.Random(SEED)

    def after_answer(
        channel: workers.Channel, request: lab.Message, answer: bytes
    ) -> None:
        since_s = place.now() - began_s - SURPLUS_FROM_S
        if not 0 <= since_s < SURPLUS_FOR_S:
            return
        if chance.random() < SURPLUS_SHARE:
            channel.surplus = answer
            status = int(answer.split(b" ", 2)[1])
            place.note("surplus", id=request.id, status=status)

    worker.after_answer = after_answer


async def call(
    place: lab.Lab,
    address: str,
    name: str,
    began_s: float,
    answers: dict[str, int],
) -> None:
    """Send requests one after the other and note what they were answered."""
    caller = lab.Caller(address)
    number = 0
    while place.now() - began_s < LENGTH_S:
        number += 1
        request_id = f"{name}{number:013x}"
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await caller.ask(request_id, f"/push/{name}")
            answers[request_id] = answer.status
            place.note("answer", id=request_id, status=answer.status)
        await asyncio.sleep(0.01)
    caller.close()


def verdict(
    place: lab.Lab, made: list[workers.Worker], answers: dict[str, int]
) -> bool:
    """Compare what was promised with what has run."""
    lab.require_served(answers)
    runs: dict[str, int] = {}
    for worker in made:
        for run in worker.runs:
            runs[run.id] = runs.get(run.id, 0) + 1
    refused = [i for i, status in answers.items() if status in PROMISES]
    broken = [i for i in refused if i in runs]
    twice = [i for i, count in runs.items() if count > 1]
    place.say(
        f"{len(answers)} requests answered, {len(refused)} of them refused; "
        f"{len(broken)} of the refused had run; {len(twice)} ran twice."
    )
    for request_id in broken:
        place.note("broken", id=request_id, status=answers[request_id], runs=1)
    return not broken and not twice


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, case))
