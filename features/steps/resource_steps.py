import json

from behave import given
from behave import then
from behave import when

from rookspring_core import Entry
from rookspring_core import Resource
from rookspring_core import ResourceInvalid
from rookspring_core import check_resource
from rookspring_core.acceptance import RunnerMemory
from rookspring_core.acceptance import accept


@given("a {kind} named {name} with spec {spec}")
def a_document(context, kind, name, spec):
    context.document = {"kind": kind, "name": name, "spec": json.loads(spec)}


@when("its {field} is set to {value}")
def set_field(context, field, value):
    target = context.document
    *path, last = field.split(".")
    for part in path:
        target = target[part]
    target[last] = json.loads(value) if value != "1e999" else float("inf")


@then("the check names {named}")
def check_names(context, named):
    try:
        check_resource(context.document)
    except ResourceInvalid as error:
        assert any(fault.startswith(named) for fault in error.faults), error.faults
        return
    raise AssertionError("the document was accepted")


def model(name, gb, version):
    spec = {"version": f"v{version}", "memory_gb": float(gb), "engine": "e"}
    return Resource("Model", name, spec, version)


@given("runners with {one} and {other} GB")
def runners(context, one, other):
    context.rooms = (RunnerMemory("e", float(one)), RunnerMemory("e", float(other)))


@given("accepted models {models}")
def accepted_models(context, models):
    context.desired = {}
    context.entries = {}
    for number, text in enumerate(models.split(), 1):
        name, gb = text.split("=")
        resource = model(name, gb, number)
        context.desired[resource.key] = resource
        context.entries[resource.key] = Entry(resource)


@when("{kind} {name}={value} is declared")
def declare_change(context, kind, name, value):
    if kind == "Model":
        resource = model(name, value, 100)
    else:
        resource = Resource(kind, name, {"model": value, "memory_gb": 0.1}, 100)
    context.desired[resource.key] = resource
    context.change = resource
    context.before = dict(context.entries)
    context.entries = accept(context.desired.values(), context.entries, context.rooms)


@then("{name} is {verdict} with {reason}")
def verdict_is(context, name, verdict, reason):
    key = context.change.key
    entry = context.entries[key]
    if verdict == "accepted":
        assert entry == Entry(context.change), entry
        return
    assert reason in entry.reason, entry
    assert entry.rejected_version == 100
    before = context.before.get(key)
    assert entry.resource == (before.resource if before else None)
