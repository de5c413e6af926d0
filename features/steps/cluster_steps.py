"""Steps that start clusters, shared by several features."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import errno
import json
import socket

from behave import given, then, when

from standins import cluster


@given("a shared cluster of two halls with {count:d} entries each")
def _(context, count):
    _use_shared(context, entries=count)


@given("a shared cluster")
def _(context):
    _use_shared(context)


@given("a cluster of its own")
def _(context):
    _start_own(context)


@given("a cluster of its own with {option} {value:d}")
def _(context, option, value):
    _start_own(context, **{option: value})


@given("a cluster with {option} {value:d} that is laid out and not started")
def _(context, option, value):
    context.cluster = cluster.Cluster(**{option: value})


@when("another program asks for the datagram ports of its engines")
def _(context):
    made = context.cluster
    files = [made.dir / f"engine-{name}.json" for name, _ in made.engines]
    ports = [json.loads(file.read_text())["udp"] for file in files]
    assert len(set(ports)) == len(ports), ports
    context.taken = [port for port in ports if _can_bind(port)]


@then("the program is refused each of them")
def _(context):
    assert context.taken == [], context.taken


@then("the cluster comes up")
def _(context):
    context.cluster.__enter__()


@when("one of its engines cannot start")
def _(context):
    context.ended = f"engine-{context.cluster.engines[0][0]}"
    (context.cluster.dir / f"{context.ended}.json").unlink()


@then("the cluster does not come up, and says which process has ended")
def _(context):
    try:
        context.cluster.__enter__()
    except (RuntimeError, TimeoutError) as failed:
        assert f"{context.ended} has ended" in str(failed), failed
    else:
        raise AssertionError("the cluster came up")


def _can_bind(port):
    """Return whether a socket without port sharing can bind this port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError as refused:
            assert refused.errno == errno.EADDRINUSE, refused
            return False
    return True


@given(
    "a cluster of its own of one entry and two engines with {slots:d} slots"
)
def _(context, slots):
    # A single entry gets all the grants.
    _start_own(context, halls=("a",), engines=2, services=0, slots=slots)


def _use_shared(context, **options):
    if "cluster" not in context.holder:
        made = cluster.Cluster(**options)
        made.__enter__()
        context.holder["cluster"] = made
    context.cluster = context.holder["cluster"]


def _start_own(context, **options):
    context.cluster = cluster.Cluster(**options)
    context.cluster.__enter__()
