import contextlib
import io
import itertools
import os
import pathlib
import shutil
import sys
import unittest.mock

from behave import given
from behave import then
from behave import when

from rookspring_fakes.model_server import ModelServer
from rookspring_fakes.process_soak import ProcessSoak


@given(
    "{nodes:d} nodes as processes, {callers:d} callers on persistent connections, and seed {seed:d}"
)
def nodes_as_processes(context, nodes, callers, seed):
    context.soak = ProcessSoak(seed, nodes, callers, os.getpid())


@given("{nodes:d} nodes as processes, {callers:d} callers with keys, and seed {seed:d}")
def nodes_with_keys(context, nodes, callers, seed):
    context.soak = ProcessSoak(seed, nodes, callers, os.getpid(), keyed=True)


@given(
    "{nodes:d} nodes as processes, {callers:d} callers whose streams go on elsewhere, and seed "
    "{seed:d}"
)
def nodes_with_versions(context, nodes, callers, seed):
    context.soak = ProcessSoak(seed, nodes, callers, os.getpid(), versioned=True)


class MixingServer(ModelServer):
    """An endpoint whose events are of two versions in turn, and whose entry is of the first."""

    def __init__(self, *args):
        self._written = itertools.cycle(("v1", "v2"))
        super().__init__(*args)

    @property
    def version(self):
        return next(self._written)

    @version.setter
    def version(self, version):
        """Leave out the version that the stage sets."""

    def entry(self, *args):
        return super().entry(*args) | {"version": "v1"}


@given("endpoints that write events of two versions into each stream")
def mixing_endpoints(context):
    context.soak.stage.server_class = MixingServer


@when("troubles are drawn for {seconds:d} s, one after another and overlapping")
def troubles_drawn(context, seconds):
    context.outcome = context.loop.run(context.soak.run(seconds), seconds + 60.0)


@then("no guarantee is violated")
def none_violated(context):
    text = "\n".join(context.outcome.violations)
    if text:
        # The runner of features prints a failed step's end alone, and nothing that it captured.
        print(text, file=sys.__stdout__, flush=True)
    assert not text, text


@then("most requests that endpoints' rates allow were answered")
def most_answered(context):
    outcome = context.outcome
    assert outcome.requests > 200 and outcome.answered > outcome.owed / 2 > 0, outcome


@then("some whole answers ended with their connection")
def some_closed_well(context):
    outcome = context.outcome
    assert outcome.closed_well > outcome.requests / 10, outcome


@then("each of them was delivered as whole")
def each_delivered(context):
    found = context.outcome.cut_sound
    if found:
        print("\n".join(found), file=sys.__stdout__, flush=True)
    assert not found, (len(found), context.outcome.closed_well, found[0].splitlines()[0])


@then("a failure of one version comes with the sends of its requests and their runs at endpoints")
def failure_traced(context):
    failure = next(one for one in context.outcome.violations if one.startswith("one version: "))
    stdout = unittest.mock.patch("sys.__stdout__", io.StringIO())
    with stdout as printed, contextlib.suppress(AssertionError):
        none_violated(context)
    assert failure in printed.getvalue()
    first, *lines = failure.partition("\nthe nodes' logs")[0].splitlines()
    name = first.split()[2]
    assert any("event=attempt_began" in line and f" id={name} " in line for line in lines), failure
    assert any(f" received={name} " in line for line in lines), failure
    assert any("event=request_ended" in line and f" id={name} " in line for line in lines), failure
    times = [float(line.split()[0]) for line in lines]
    assert times == sorted(times), failure


@then("a folder has the nodes' logs and one of all in the order of time")
def logs_kept(context):
    folder = pathlib.Path(context.outcome.violations[-1].rpartition(" ")[2])
    try:
        for name in ("n0.log", "n1.log", "merged.log"):
            assert "event=attempt_began" in (folder / name).read_text(), name
    finally:
        shutil.rmtree(folder)
