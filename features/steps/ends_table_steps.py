import asyncio
import itertools

from behave import given
from behave import then
from behave import when
from ends_stage import EndsStage
from entry_steps import draw
from hypothesis import strategies

from rookspring_fakes import ends_checks
from rookspring_fakes import ends_table
from rookspring_fakes.ends_table import Row

ROWS_TIMEOUT_S = 300.0


@given("two linked nodes, of which the first hands its requests over")
def two_nodes(context):
    stage = context.ends_stage = EndsStage()
    context.loop.run(stage.start())
    context.add_cleanup(lambda: context.loop.run(stage.close()))
    context.broken = []


def play(context, row):
    async def work():
        outcome = await context.ends_stage.play(row)
        # The lines of the log are written by another task.
        await asyncio.sleep(0)
        if names := ends_checks.find_broken(outcome):
            context.broken.append(
                f"{row}: {'; '.join(names)}\n{context.ends_stage.describe(outcome)}"
            )

    context.loop.run(work(), ROWS_TIMEOUT_S)


@when("rows of the framing {framing} are played that have each end and cause, and each pair")
def cover_played(context, framing):
    rows = [row for row in ends_table.cover(ends_table.list_rows()) if row.framing == framing]
    assert rows
    for row in rows:
        play(context, row)


@when("{number:d} rows are drawn and played")
def drawn_played(context, number):
    # One row may be drawn twice; it is collected and not raised, so that all broken ones are told.
    draw(strategies.sampled_from(ends_table.list_rows()), lambda row: play(context, row), number)


@then("no row breaks a rule")
def none_broken(context):
    assert not context.broken, "\n".join(context.broken)


@then("the table has each value of each field, and each of its notes is about some row")
def has_each(context):
    rows = ends_table.list_rows()
    axes = (
        ends_table.FRAMINGS,
        ends_table.ENDS,
        ends_table.CAUSES,
        ends_table.PLACES,
        ends_table.CALLERS,
        ends_table.KINDS,
        ends_table.POINTS,
    )
    for number, axis in enumerate(axes):
        assert {row[number] for row in rows} == set(axis)
    every = [Row(*values) for values in itertools.product(*axes)]
    for note in ends_table.EXCLUSIONS:
        others = [one for one in ends_table.EXCLUSIONS if one is not note]
        alone = any(note.holds(row) and not any(o.holds(row) for o in others) for row in every)
        assert alone, note.name
    untold = {ends_table.find_untold(row) for row in rows} - {""}
    assert untold == {note.name for note in ends_table.UNTOLD}, untold
    doubted = {ends_table.find_doubted(row) for row in rows} - {""}
    assert doubted == {note.name for note in ends_table.DOUBTED}, doubted
    covered = ends_table.cover(rows)
    assert {row[:3] for row in covered} == {row[:3] for row in rows}
    assert untold == {ends_table.find_untold(row) for row in covered} - {""}
    assert doubted == {ends_table.find_doubted(row) for row in covered} - {""}
