"""Helpers of the steps on the configuration: changes, restarts and calls."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json

from standins import cluster, load


def put_weight(name, weight):
    """Return a change of a workspace's weight."""
    row = {"name": name, "key": f"key-of-{name}", "targets": ["codes"]}
    return {"kind": "put-workspace", "weight": weight, **row}


def call(made, number):
    """Call an entry, by its number; return the result."""
    return load.send(made, made.entries[number][0], path="/free")


def restart(made, name):
    """Kill a process, start it again and wait until it is up."""
    made.processes[name].kill()
    made.processes[name].start()
    cluster.wait_for(lambda: made._live(name), name)


def set_peers(made, name, peers):
    """Set the peers in the settings file of a process."""
    path = made.dir / f"{name}.json"
    data = json.loads(path.read_text())
    data["peers"] = [made.peer[peer] for peer in peers]
    path.write_text(json.dumps(data))
