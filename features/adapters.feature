Feature: Adapters of one model that share few places

  What users saw: on heavy days some adapters and models were asked for all day and never served,
  each try refused in time and with a true reason, and no rule broken.

  Order of events: a hot model has one replica, since others crashed or were taken away. More of its
  adapters are asked for than its endpoint has places. Each is attached for requests that wait
  0.2 s and come back after 0.4 s, and makes room for the next within a tenth of a second, before
  they can use it. Or its endpoint loads a model for seconds, which nobody may ask for, or unloads
  an adapter that a request has just begun to use; it carries out one order at a time, so
  nothing is attached there meanwhile.

  Cause: what an order costs those who wait was no part of the decision to give it. Places and the
  endpoint's one order at a time went by demand alone, in which whoever has just come counts least.

  Evidence, from the nodes' logs of three heavy days: 64 of 71, 16 of 26 and 19 of 35 adapters that
  were unloaded had been used by nobody (event adapter_left); 12, 20 and 18 wants were given up as
  a model's order was under way at the endpoint, and 19 behind one unload of an adapter in
  use, for 14.4 s (want_declined, want_ended).

  Scenario Outline: operators learn what becomes of an adapter that requests wait for
    Given a lease holder over runners holding <held> of 200 GB
    When adapters of m are wanted and <then>
    Then operators are told: <told>

    Examples:
      | held       | then                       | told                                    |
      | m          | come at once               | m/a1 attached, asked for once           |
      | n          | nobody asks again          | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for once |
      | n          | are asked for twice        | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for twice |
      | m          | its runner does not answer | m/a1 declined: e1: load m/a2 is under way; m/a1 given up, asked for once |
      | m+a2+a3    | take the place of another  | m/a9 left unused                        |
      | m+a2+a3    | take one that was used     | m/a9 left used                          |

  Scenario Outline: callers are told when an adapter is likely to be there
    Given waits for adapters of m of <waits> s
    And an endpoint with m that <does>
    When an adapter of m is asked for that is attached nowhere
    Then its caller is told to come back after <least> to <most> s
    And the lease holder is told when that will be at the latest

    Examples:
      | waits          | does                     | least | most |
      | none           | is free                  | 0.4   | 0.4  |
      | 0.1            | is free                  | 0.4   | 0.4  |
      | 1.2            | is free                  | 1.1   | 1.9  |
      | 1.2, 0.1, 0.1, 0.1 | is free              | 0.7   | 1.9  |
      | 9.0            | is free                  | 1.4   | 1.7  |
      | none           | loads a model for 1.1 s  | 1.0   | 1.2  |
      | none           | loads a model for 9 s    | 1.4   | 1.7  |

  Scenario Outline: what finds no place calls for another replica of its model
    Given an endpoint holding <held>, and a request for <asked>
    When it is refused
    Then it counts as missed of m: <missed>

    Examples:
      | held   | asked | missed |
      | m      | m/a1  | yes    |
      | n      | m/a1  | no     |
      | n      | m     | no     |

  # Guards against adapters that are attached for callers who wait, and whose callers then find no room
  # there, as all slots went to those of others, which ask more often.
  Scenario Outline: what has come for callers who wait has the first call on room there
    Given an endpoint of 16 slots with m and its adapter a1, where <came> comes
    When <others> requests for a1 are there, and <later> s later one for a9
    Then <sent> of those for a1 are sent, and the one for a9 is <then>

    Examples: an adapter's first call is for 3 s; one slot in eight is kept at most
      | came     | others | later | sent | then     |
      | a9       | 20     | 0     | 15   | sent     |
      | a9       | 14     | 0     | 14   | sent     |
      | a9 to a12 | 20    | 0     | 14   | sent     |
      | a9       | 20     | 3.1   | 16   | not sent |
      | nothing  | 20     | 0     | 16   | not sent |

  Scenario Outline: prompts of others leave what came a part of what may be unread
    Given an endpoint of 16 slots with m and its adapter a1, where <came> comes
    When prompts of <tokens> tokens for a1 are there, and then one of 900 for a9
    Then <sent> of those for a1 are sent, and the one for a9 is <then>

    Examples: 4,096 tokens may be unread, of which 1,024 are kept
      | came    | tokens     | sent | then     |
      | a9      | 1500, 1600 | 1    | sent     |
      | a9      | 1500, 1500 | 2    | sent     |
      | nothing | 1500, 2000 | 2    | not sent |

  # Guards against an adapter that is asked for all day and served nobody: once it was attached it lost
  # its place in line, also where it had to make room again before any caller could use it.
  Scenario: an adapter that gave way unused goes before those that began to wait after it
    Given a lease holder over runners holding m+a2+a3 of 200 GB
    When a9 is attached and gives way before anyone has used it
    And a7 is wanted, and then a9 again
    Then a9 is attached before a7

  Scenario Outline: each adapter that is asked for is served before long
    Given runners holding m+q, n+p and r+s, where m has 20 adapters and a runner 8 places
    And <trouble>
    When its adapters are asked for <rate> times a second for 30 s, with seeds 1 to 6
    Then none that was asked for four times over 8 s was never served
    And at most <adapter> tries in a row for one adapter were in vain, and <model> for one model
    And at most <unused> in 100 of those that were unloaded had been of no use

    Examples: places alone; a caller makes two tries
      | trouble                                                | rate | adapter | model | unused |
      | nothing happens                                        | 6    | 8       | 0     | 20     |
      | nothing happens                                        | 9    | 10      | 0     | 20     |

    Examples: orders that take long: loads of 8 s, and those without an answer
      | trouble                                                | rate | adapter | model | unused |
      | e2 is lost, whose models nobody asks for               | 6    | 8       | 0     | 20     |
      | e2 is lost, whose models are asked for now and then    | 6    | 12      | 14    | 20     |
      | e2 falls silent, whose models are asked for now and then | 6  | 12      | 12    | 20     |
      | a third of orders is answered by nobody and comes late | 6    | 12      | 0     | 25     |

  Scenario: adapters that wait for long requests keep no idle one from making room
    Given runners holding m+q and n+p, where six of m's eight places are in use for 12 s
    When twelve other adapters of m are asked for three times within 7 s, with seeds 1 to 6
    Then at least 70 in 100 of them are served
