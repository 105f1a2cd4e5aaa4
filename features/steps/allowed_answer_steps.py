from behave import given
from behave import then
from behave import when

from rookspring_fakes.process_allowance import RatePeriod
from rookspring_fakes.process_allowance import WorkPeriod
from rookspring_fakes.process_allowance import count_owed
from rookspring_fakes.process_allowance import find_limited


@given("endpoints that work and state rates: {endpoints}")
def working_endpoints(context, endpoints):
    context.works = [read_work(one.split()) for one in endpoints.split(", ")]


def read_work(words):
    rates = tuple(RatePeriod(*read_span(span), float(rate)) for span, rate in split_rates(words))
    return WorkPeriod(*read_span(words[0]), rates)


def split_rates(words):
    return [word.split("@") for word in words[1:]]


def read_span(text):
    began, ended = text.split("-")
    return float(began), float(ended)


@when("{each:d} requests a second end from second 0 to second {seconds:d}")
def requests_end(context, each, seconds):
    context.ended_at = [number / each for number in range(each * seconds)]


@then("{owed:g} of the {number:d} are owed an answer")
def owed_of(context, owed, number):
    assert len(context.ended_at) == number
    found = count_owed(context.ended_at, find_limited(context.works))
    assert abs(found - owed) < 1e-6, found
