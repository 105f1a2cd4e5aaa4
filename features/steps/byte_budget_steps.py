from behave import given
from behave import then
from behave import when

from rookspring.byte_budget import ByteBudget


class Senders:
    """Parts of some senders that count at one budget."""

    def __init__(self, most):
        self.budget = ByteBudget(most)
        self.parts = []

    def hold(self, name, size, spared=False):
        holding = self.budget.open(name)
        holding.give_up = lambda reason: self.parts.remove(holding)
        holding.spare(spared)
        self.parts.append(holding)
        holding.resize(size)

    def held(self):
        return sorted((one.source, one.size) for one in self.parts)


def read_parts(text):
    rows = [row.split() for row in text.split(", ")]
    return [(name, int(size)) for name, *sizes in rows for size in sizes]


@given("a bound of {most:d} bytes, and senders that hold: {held}")
def senders_hold(context, most, held):
    context.senders = Senders(most)
    for name, size in read_parts(held):
        context.senders.hold(name, size)
    assert context.senders.held() == sorted(read_parts(held))


@when("{size:d} bytes come of {name}")
def bytes_come(context, size, name):
    context.senders.hold(name, size)


@then("the senders hold: {left}")
def senders_left(context, left):
    assert context.senders.held() == sorted(read_parts(left)), context.senders.held()
    assert context.senders.budget.held_bytes == sum(size for _, size in read_parts(left))


@given(
    "a bound of {most:d} bytes, of which {spared:d} wait for callers and {other:d} come of "
    "endpoints, 100 each"
)
def some_spared(context, most, spared, other):
    context.senders = Senders(most)
    for number in range(spared // 100):
        context.senders.hold(f"caller {number}", 100, spared=True)
    for number in range(other // 100):
        context.senders.hold(f"endpoint {number}", 100)


@when("{size:d} bytes come of an endpoint")
def bytes_of_endpoint(context, size):
    for number in range(size // 100):
        context.senders.hold(f"another endpoint {number}", 100)


@then("{left:d} of those that wait for callers are left")
def callers_left(context, left):
    assert sum(one.size for one in context.senders.parts if one.spared) == left
    assert context.senders.budget.held_bytes <= context.senders.budget.most
