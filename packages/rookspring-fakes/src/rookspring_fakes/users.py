"""The present deployment sizes of the two users, and the resources that they declare."""

import hashlib
import typing as t


class UserSize(t.NamedTuple):
    """The present size of one user's deployment: data centres, runners, services, weight store."""

    name: str
    data_centres: tuple[str, ...]
    engine: str
    runners: int
    service: str
    service_endpoints: int
    models: int
    adapters: int
    loads_per_s: float
    loads_at_once: int
    move_weight: float
    unrepeatable: str
    ranked: str


USERS: dict[str, UserSize] = {
    "fjordlap": UserSize(
        "fjordlap",
        ("ballerup", "taastrup", "koege"),
        "pitwall-llm",
        6,
        "gridmaker",
        3,
        15,
        75,
        1.5,
        10,
        1.0,
        "place",
        "ranked",
    ),
    "kiosk": UserSize(
        "kiosk",
        ("thamel", "lalitpur", "bhaktapur"),
        "sahayak",
        9,
        "khata",
        3,
        20,
        110,
        2.0,
        20,
        4.0,
        "post",
        "ledger",
    ),
}

# The sizes that can be asked for by name; the first is the demo's unless another is named.
SIZES: dict[str, UserSize] = {"demo": USERS["fjordlap"], **USERS}

# A deployment that starts within seconds, for tests and experiments over real sockets.
SMALL = UserSize(
    "small",
    ("ballerup", "taastrup", "koege"),
    "pitwall-llm",
    3,
    "gridmaker",
    3,
    3,
    2,
    20.0,
    10,
    1.0,
    "place",
    "ranked",
)

_SIZES_GB = (8.0, 10.0, 12.0, 14.0, 16.0)
_PRIORITIES = ("ranked", "normal", "casual")


def list_resources(user: UserSize, key: str = "demo") -> list[dict[str, t.Any]]:
    """List the resources that a user declares, with one team whose API key is ``key``."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    documents: list[dict[str, t.Any]] = [
        {"kind": "Team", "name": "demo", "spec": {"key_sha256": [digest], "operator": True}},
        {
            "kind": "Policy",
            "name": "default",
            "spec": {
                "move_weight": user.move_weight,
                "loads_per_s": user.loads_per_s,
                "loads_at_once": user.loads_at_once,
            },
        },
        {
            "kind": "Service",
            "name": user.service,
            "spec": {"unrepeatable": [user.unrepeatable], "priority": user.ranked},
        },
    ]
    for number in range(user.models):
        documents.append(
            {
                "kind": "Model",
                "name": f"{user.engine}-{number:02d}",
                "spec": {
                    "version": "v1",
                    "memory_gb": _SIZES_GB[number % len(_SIZES_GB)],
                    "engine": user.engine,
                    "priority": _PRIORITIES[number % len(_PRIORITIES)],
                },
            }
        )
    for number in range(user.adapters):
        documents.append(
            {
                "kind": "Adapter",
                "name": f"adapter-{number:03d}",
                "spec": {"model": f"{user.engine}-{number % user.models:02d}", "memory_gb": 0.1},
            }
        )
    return documents
