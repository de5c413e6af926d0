"""Steps that start clusters, shared by several features."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given

from standins import cluster


@given("a shared cluster of two halls with {count:d} entries each")
def _(context, count):
    _share(context, entries=count)


@given("a shared cluster")
def _(context):
    _share(context)


@given("a cluster of its own")
def _(context):
    _own(context)


@given("a cluster of its own with {option} {value:d}")
def _(context, option, value):
    _own(context, **{option: value})


def _share(context, **options):
    if "cluster" not in context.holder:
        made = cluster.Cluster(**options)
        made.__enter__()
        context.holder["cluster"] = made
    context.cluster = context.holder["cluster"]


def _own(context, **options):
    context.cluster = cluster.Cluster(**options)
    context.cluster.__enter__()
