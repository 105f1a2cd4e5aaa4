"""Definition of a mutant: a deliberately wrong function, and features that must detect it."""

import typing as t

FEATURES = ("features/relay.feature", "features/swapping.feature", "features/platform.feature")
# Simulates whole deployments on a virtual clock. It takes longer, so only mutants that need it
# run it.
SIZE = ("features/size.feature",)
ORGANISATIONS = ("features/organisations.feature",)
SLOTS = ("features/slots.feature",)
HANDOVER = ("features/lease_handover.feature",)
RELAY = ("features/relay.feature",)
WEIGHT_STORE = ("features/weight_store.feature",)
ADAPTERS = ("features/adapters.feature",)
ENTRIES = ("features/entries.feature",)
CRASHES = ("features/crashes.feature",)
PASSED_ON = ("features/passed_on_streams.feature",)
SOUND_RUNS = ("features/sound_runs.feature",)
RESTARTS = ("features/lives.feature",)
CLOCKS = ("features/clocks.feature",)
RATES = ("features/rate_limits.feature", "features/rate_limits_sockets.feature")
STORE_CLAIMS = ("features/store_claims.feature",)
STORE_COPIES = ("features/store_copies_sockets.feature", "features/store_copies.feature")
SPEEDS = ("features/endpoint_speeds.feature",)
STOPS = ("features/stops.feature",)
STOPS_SOCKETS = ("features/stops_sockets.feature",)
CALLER_CONNECTIONS = ("features/caller_connections_sockets.feature",)
CLAIMS = ("features/claims.feature",)
SWAPPING = ("features/swapping.feature",)
READ_TURNS = ("features/read_turns.feature",)
ENDLESS_ANSWERS = ("features/endless_answers.feature",)
INNER_BYTES = ("features/inner_bytes.feature",)
MEMORY_CALLERS = ("features/memory_callers.feature",)
MODEL_WAITS = ("features/model_waits.feature",)
SPEEDS = ("features/speed_use.feature",)
RETURNED_CALLERS = ("features/returned_callers.feature",)
PLACES = ("features/places.feature",)
ISOLATION = ("features/isolation.feature",)
OWNER_CHOICE = ("features/owner_choice.feature",)
OWNER_REPLIES = ("features/owner_replies_sockets.feature",)
HANDOVERS = ("features/cut_off.feature",)
HANDOVERS_SOCKETS = ("features/handovers_sockets.feature",)
OVERWRITTEN_ROWS = ("features/overwritten_rows.feature",)
PARTS = ("features/fatal_parts.feature",)
VERSIONS = ("features/stream_versions.feature",)
VERSIONS_SOCKETS = ("features/stream_versions_sockets.feature",)
SOCKETS = ("features/sockets.feature",)
UNREAD = ("features/unread_answers_sockets.feature",)
UNFRAMED = ("features/unframed_answers_sockets.feature",)
CLOSE_ENDS = ("features/close_ends.feature",)
BREAK_MOMENTS = ("features/break_moments.feature",)
CLOSE_RECORDS = ("features/close_records.feature",)
CLOSE_RECORDS_SOCKETS = ("features/close_records_sockets.feature",)
SOUND_CLOSES = ("features/sound_closes_sockets.feature",)
CLOSE_SIGNS = ("features/close_signs_sockets.feature",)
CLOSES = ("features/closes_together_sockets.feature",)
UNKNOWN_ENDS = ("features/unknown_ends_sockets.feature",)
CUT_HEADS = ("features/cut_heads.feature",)
CUT_HEADS_SOCKETS = ("features/cut_heads_sockets.feature",)
OPEN_BODIES = ("features/open_bodies.feature",)
OPEN_BODIES_SOCKETS = ("features/open_bodies_sockets.feature",)
ENDS_TABLE = ("features/ends_table.feature",)
DEADLINE_ENDS = ("features/deadline_ends_sockets.feature",)
RUN_COPIES = ("features/run_copies.feature",)
RUN_COPIES_SOCKETS = ("features/run_copies_sockets.feature",)
RUN_BACKUPS = ("features/run_backups.feature",)
RUN_BACKUPS_SOCKETS = ("features/run_backups_sockets.feature",)
PLANNED_END_RULES = ("features/planned_ends.feature",)
PLANNED_END_PROCESSES = ("features/planned_end_processes.feature",)
PLANNED_ENDS = ("features/planned_ends_sockets.feature",)
OPEN_ENDS = ("features/open_ends.feature",)
OPEN_ENDS_SOCKETS = ("features/open_ends_sockets.feature",)
RESUMED_STREAMS = ("features/resumed_streams_sockets.feature",)
BEGUN_STREAMS = ("features/begun_streams_sockets.feature",)
EVENT_STREAMS = ("features/event_streams.feature",)
RESENDS = ("features/resent_requests_sockets.feature",)
FULL_ENDPOINTS = ("features/full_endpoints_sockets.feature",)
DOUBLED_HEADERS = ("features/doubled_headers.feature",)
EVACUATIONS = ("features/evacuations.feature",)
EVACUATIONS_SOCKETS = ("features/evacuations_sockets.feature",)
SILENT_CHANNELS = ("features/silent_channels_sockets.feature",)
WATCHES = ("features/watches.feature",)
ODD_MESSAGES = ("features/odd_messages.feature",)
ODD_LINKS = ("features/odd_links_sockets.feature",)
NUMBERS_THAT_HOLD = ("features/numbers_that_hold.feature",)
ODD_CALLS = ("features/odd_calls.feature",)
ODD_HEADERS = ("features/odd_headers.feature",)
NOTICES = ("features/notices.feature", "features/notices_sockets.feature")
BOUNDS = ("features/bounds.feature",)
ADDRESSES = ("features/dialled_addresses.feature",)
ODD_BODIES = ("features/odd_bodies.feature",)
ODD_ENTRIES = ("features/odd_entries.feature",)
ODD_NODES = ("features/odd_nodes.feature",)
ODD_LEASES = ("features/odd_leases.feature",)


class Mutant(t.NamedTuple):
    """A wrong function that replaces an attribute of a module or class.

    :param rule: the guarantee that the mutant violates, as ``docs/failures.md`` names it.
    :param replacement: the wrong function or value.
    :param features: feature files of which at least one must fail under the mutant.
    """

    name: str
    rule: str
    target: t.Any
    attribute: str
    replacement: t.Any
    features: tuple[str, ...] = FEATURES
