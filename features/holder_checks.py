"""Checks of the lease holders' orders."""

# Least time between orders of two holders, in seconds.
GAP_S = 3.0


def check_holders(acts):
    """Check that fences rise, that each belongs to one node, and the gap between two nodes."""
    for before, act in zip(acts, acts[1:], strict=False):
        if before.node == act.node:
            continue
        assert act.fence > before.fence, (before, act)
        assert act.at - before.at >= GAP_S, (before, act)
    holders = {act.fence: act.node for act in acts}
    assert all(holders[act.fence] == act.node for act in acts)


def longest_pause_s(acts, since, until):
    """Return the longest time within a span in which no node might give orders, in seconds."""
    moments = [since, *(act.at for act in acts if since <= act.at <= until), until]
    return max(after - before for before, after in zip(moments, moments[1:], strict=False))
