"""What holds of those who give orders, one after the other."""

# Orders of two holders lie so far apart, in seconds.
APART_S = 3.0


def check_holders(acts):
    """Check that fences rise, each is one node's, and that orders of two nodes lie apart."""
    for before, act in zip(acts, acts[1:], strict=False):
        if before.node == act.node:
            continue
        assert act.fence > before.fence, (before, act)
        assert act.at - before.at >= APART_S, (before, act)
    holders = {act.fence: act.node for act in acts}
    assert all(holders[act.fence] == act.node for act in acts)


def longest_pause_s(acts, since, until):
    """Give the longest time within a span in which nobody might give orders, in seconds."""
    moments = [since, *(act.at for act in acts if since <= act.at <= until), until]
    return max(after - before for before, after in zip(moments, moments[1:], strict=False))
