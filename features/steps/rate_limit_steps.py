"""Endpoints that name the requests a second they take, over whole fleets."""

import random

from behave import given
from behave import then
from behave import when
from rate_counts import borne
from rate_counts import most_in_window
from rate_counts import told_arrivals

from rookspring_fakes.fleet_callers import FleetCallers

LIMITED = "e0"
ASKED = "asked"


@given("{nodes:d} nodes, and an endpoint among {endpoints:d} that names {rate:g} requests a second")
def names_rate(context, nodes, endpoints, rate):
    context.stage = FleetCallers(nodes, endpoints)
    context.stage.runners.rates[LIMITED] = context.rate = rate
    context.drawn = random.Random(7)


def come_for(context, asked, seconds):
    stage = context.stage
    end = stage.fleet.now + seconds
    while stage.fleet.now < end:
        name = context.drawn.choice(stage.names())
        stage.send(name, ASKED, repeatable=True, attempts=2)
        stage.fleet.run(context.drawn.expovariate(asked))


@when("{asked:g} requests a second come to nodes by chance for {seconds:g} s")
def come_by_chance(context, asked, seconds):
    come_for(context, asked, seconds)


@then("in no 4 s it got more than users bear, from nodes that it had told")
def got_no_more(context):
    found = most_in_window(told_arrivals(context.stage.runners, LIMITED))
    assert found <= borne(context.rate), (found, borne(context.rate))
