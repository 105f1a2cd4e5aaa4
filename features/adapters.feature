Feature: Adapters of one model that share few adapter slots

  Guards against adapters and models that are requested all day and never served, although each
  refusal is in time and has a true reason. A hot model has one replica, and more of its adapters
  are requested than its endpoint has slots. An adapter is attached for requests that wait 0.2 s
  and retry after 0.4 s, and is evicted for the next one a tenth of a second later, before they can
  use it. Or the endpoint, which carries out one order at a time, loads a model for seconds or
  unloads an adapter that a request has just begun to use, and attaches nothing meanwhile.

  Slots and orders went by demand alone, which counts the latest want least. In the logs of three
  heavy days 64 of 71, 16 of 26 and 19 of 35 unloaded adapters had not been used (adapter_left);
  12, 20 and 18 wants were given up during a model's order at the endpoint, and 19 during one
  unload of an adapter in use, which took 14.4 s (want_declined, want_ended).

  Scenario Outline: the log shows what becomes of an adapter that requests wait for
    Given a lease holder over runners holding <held> of 200 GB
    When adapters of m are wanted and <then>
    Then the log shows: <logged>

    Examples:
      | held       | then                       | logged                                  |
      | m          | are attached at once       | m/a1 attached, asked for once           |
      | n          | are not requested again    | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for once |
      | n          | are requested twice        | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for twice |
      | m          | its runner does not answer | m/a1 declined: e1: load m/a2 is under way; m/a1 given up, asked for once |
      | m+a2+a3    | replace an unused one      | m/a9 left unused                        |
      | m+a2+a3    | replace a used one         | m/a9 left used                          |

  Scenario Outline: callers are told to retry when an adapter is likely to be attached
    Given waits for adapters of m of <waits> s
    And an endpoint with m that <does>
    When an adapter of m is requested that is attached nowhere
    Then its caller is told to retry after <least> to <most> s
    And the lease holder is told by when the caller will have retried

    Examples:
      | waits          | does                     | least | most |
      | none           | is free                  | 0.4   | 0.4  |
      | 0.1            | is free                  | 0.4   | 0.4  |
      | 1.2            | is free                  | 1.1   | 1.9  |
      | 1.2, 0.1, 0.1, 0.1 | is free              | 0.7   | 1.9  |
      | 9.0            | is free                  | 1.4   | 1.7  |
      | none           | loads a model for 1.1 s  | 1.0   | 1.2  |
      | none           | loads a model for 9 s    | 1.4   | 1.7  |

  Scenario Outline: a request refused for lack of an adapter slot counts as missed demand of its model
    Given an endpoint holding <held>, and a request for <requested>
    When it is refused
    Then it counts as missed demand of m: <missed>

    Examples:
      | held   | requested | missed |
      | m      | m/a1      | yes    |
      | n      | m/a1      | no     |
      | n      | m         | no     |

  # Guards against an adapter that is attached for waiting callers who then find no free request slot,
  # as requests for another adapter, which come more often, have taken all slots.
  Scenario Outline: request slots are reserved for an adapter that was just attached
    Given an endpoint of 16 slots with m and its adapter a1, where <attached> is attached
    When <others> requests for a1 arrive, and <later> s later one for a9
    Then <sent> of those for a1 are sent, and the one for a9 is <then>

    Examples: slots are reserved for 3 s; one slot in eight at most
      | attached | others | later | sent | then     |
      | a9       | 20     | 0     | 15   | sent     |
      | a9       | 14     | 0     | 14   | sent     |
      | a9 to a12 | 20    | 0     | 14   | sent     |
      | a9       | 20     | 3.1   | 16   | not sent |
      | nothing  | 20     | 0     | 16   | not sent |

  Scenario Outline: part of the unread prompt tokens is reserved for an adapter that was just attached
    Given an endpoint of 16 slots with m and its adapter a1, where <attached> is attached
    When prompts of <tokens> tokens for a1 arrive, and then one of 900 for a9
    Then <sent> of those for a1 are sent, and the one for a9 is <then>

    Examples: 4,096 tokens may be unread, of which 1,024 are reserved
      | attached | tokens     | sent | then     |
      | a9       | 1500, 1600 | 1    | sent     |
      | a9       | 1500, 1500 | 2    | sent     |
      | nothing  | 1500, 2000 | 2    | not sent |

  # Guards against an adapter that is requested all day and never used: being attached cost it its place
  # in the queue of wants, even if it was evicted before any caller could use it.
  Scenario: an adapter that was evicted unused is attached before those wanted after it
    Given a lease holder over runners holding m+a2+a3 of 200 GB
    When a9 is attached and evicted before any request has used it
    And a7 is wanted, and then a9 again
    Then a9 is attached before a7

  Scenario Outline: each requested adapter is served before long
    Given runners holding m+q, n+p and r+s, where m has 20 adapters and a runner 8 adapter slots
    And <fault>
    When its adapters are requested <rate> times a second for 30 s, with seeds 1 to 6
    Then each that was requested four times over 8 s was served at least once
    And at most <adapter> tries in a row failed for one adapter, and <model> for one model
    And at most <unused> in 100 of the unloaded adapters had not been used

    Examples: without faults; a caller makes two tries
      | fault                                                  | rate | adapter | model | unused |
      | there are no faults                                    | 6    | 8       | 0     | 20     |
      | there are no faults                                    | 9    | 10      | 0     | 20     |

    Examples: orders that take long: loads of 8 s, and those without an answer
      | fault                                                  | rate | adapter | model | unused |
      | e2 is lost, whose models are not requested             | 6    | 8       | 0     | 20     |
      | e2 is lost, whose models are requested at times        | 6    | 12      | 14    | 20     |
      | e2 falls silent, whose models are requested at times   | 6    | 12      | 12    | 20     |
      | a third of orders gets no answer and is taken late     | 6    | 12      | 0     | 25     |

  # Guards against a few withdrawn adapters, which can't be unloaded until long requests end, that keep
  # the lease holder from withdrawing and unloading idle ones.
  Scenario: withdrawn adapters in use do not block the eviction of idle ones
    Given runners holding m+q and n+p, where six of m's eight adapter slots are in use for 12 s
    When twelve other adapters of m are requested three times within 7 s, with seeds 1 to 6
    Then at least 70 in 100 of them are served

  # Guards against an adapter that is requested all the time and never served: all adapter slots are in
  # use, and each adapter that is withdrawn for it is requested and reinstated before it can be unloaded.
  Scenario Outline: an adapter is served although all slots are in use without a pause
    Given a runner holding m+q, where m has 8 adapter slots and requests run for <run> s
    When 8 adapters of m are requested <rate> times a second each, and <others> others once a second, for 30 s with seeds 1 to 4
    Then no adapter goes unserved for longer than <unserved> s
    And at least <served> in 100 tries are served
    And no order was to do what its runner had done already

    Examples: 3 s are the longest time that callers are told; then one adapter's requests have to end
      | run | rate | others | unserved | served |
      | 1.5 | 2    | 2      | 10       | 75     |
      | 4.0 | 1    | 1      | 15       | 75     |
      | 4.0 | 2    | 1      | 18       | 70     |
