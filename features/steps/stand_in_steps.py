import asyncio
import random

from behave import then
from behave import when

from rookspring_fakes.serving import wait_for_change


async def watch_and_cancel(count, most_s, seed, limit_s):
    """Return whether all watches ended, and the condition could be notified, in time."""
    rng = random.Random(seed)
    changed = asyncio.Condition()
    watches = [asyncio.ensure_future(wait_for_change(changed, most_s)) for _ in range(count)]
    await asyncio.sleep(most_s * rng.uniform(0.75, 1.25))
    for watch in rng.sample(watches, count // 2):
        watch.cancel()

    async def notify():
        async with changed:
            changed.notify_all()

    _, left = await asyncio.wait([*watches, asyncio.ensure_future(notify())], timeout=limit_s)
    for one in left:
        one.cancel()
    return not left


@when(
    "{count:d} watches of {ms:d} ms are waiting, half of them are cancelled as they time out, "
    "{times:d} times"
)
def watches_cancelled(context, count, ms, times):
    context.attempt = (count, ms / 1000.0, times)


@then("each time all end, and the store can be written within {seconds:g} s")
def store_usable(context, seconds):
    count, most_s, times = context.attempt

    async def work():
        return [await watch_and_cancel(count, most_s, seed, seconds) for seed in range(times)]

    ended = asyncio.run(work())
    assert all(ended), f"{ended.count(False)} of {times} hung"
