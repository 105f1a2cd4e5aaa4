Feature: A part of prompts that crashes endpoints is refused, and sound requests beside it are not

  Scenario Outline: requests with one part in common crash endpoints, one after the other
    Given <nodes> nodes whose callers send prompts in parts, and seed <seed>
    When sound requests come for 20 s, and then for <seconds> s others too, <rate> a second, whose fatal part is: <place>
    Then at most 3 requests with it reach endpoints later than 3 s after the fifth crash
    And at most <crashes> endpoints crash under it
    And sound requests begin at least half as often as before

    Examples:
      | nodes | seed | rate | place              | crashes | seconds |
      | 8     | 1    | 3    | second             | 6       | 40      |
      | 8     | 2    | 3    | second             | 6       | 150     |
      | 8     | 3    | 0.5  | second             | 6       | 40      |
      | 8     | 4    | 3    | first              | 6       | 40      |
      | 8     | 8    | 3    | second, once sound | 14      | 40      |
      | 63    | 5    | 3    | second             | 6       | 40      |

  Scenario Outline: ordinary crashes convict no part
    Given 8 nodes whose callers send prompts in parts, and seed <seed>
    When sound requests come for 60 s, while <crashes> endpoints crash
    Then no part and no request is convicted
    And sound requests begin at least half as often as before

    Examples:
      | seed | crashes |
      | 6    | 15      |
      | 7    | 40      |

  Scenario Outline: a suspect with crashes outlives many without in the table's bounds
    Given a table of suspects with a part of <crashes> crashes of different requests
    When 5000 other requests are under one crash each, <organisation>
    Then the part has <crashes> crashes, and the table is within its bounds

    Examples:
      | crashes | organisation        |
      | 2       | of no organisation  |
      | 2       | of one organisation |

  Scenario Outline: what convicts a part, and what does not
    Given a table of suspects with a part of 0 crashes of different requests
    When its evidence is: <evidence>
    Then it is <verdict>

    Examples:
      | evidence                                                 | verdict       |
      | a crash, a crash, a crash                                | convicted     |
      | a crash, a crash                                         | not convicted |
      | a crash, the same request again, and again               | not convicted |
      | a crash, a crash, whole, a crash                         | not convicted |
      | whole, a crash, a crash, a crash                         | not convicted |
      | whole, a crash, a crash, a crash, a crash, a crash       | convicted     |
      | whole, 11 s, a crash, a crash, a crash                   | convicted     |
      | a crash, a crash, a crash, whole elsewhere before        | not convicted |
      | a late crash, a late crash, a late crash                 | not convicted |
      | a crash, a crash, a crash, 61 s                          | not convicted |
      | a crash, a crash, a crash, 61 s, a crash, 61 s           | convicted     |
      | a crash, a crash, a crash, 61 s, whole, a crash          | not convicted |
      | 3 of 10 at once, a crash                                 | not convicted |
      | whole, 3 of 10 at once, 7 of 11 at once, 4 of 10 at once | not convicted |
      | 3 of 10 at once, 3 of 10 at once, 3 of 10 at once        | convicted     |
      | 10 of 10 at once                                         | convicted     |
      | whole, 5 of 5 at once                                    | convicted     |
      | 3 of 3 at once                                           | convicted     |
      | 2 of 3 at once, a crash                                  | convicted     |
      | 3 of 10 within 4 s                                       | convicted     |
      | 3-event crash, 3-event crash, a run of 4, 3-event crash  | not convicted |
      | 3-event crash, 3-event crash, 3-event crash, a run of 4  | not convicted |
      | 5-event crash, 5-event crash, a run of 4, 5-event crash  | convicted     |
      | a run of 4, 3-event crash, 3-event crash, 3-event crash  | convicted     |

  Scenario: a node that missed the crashes of a part that was sound takes its conviction
    Given a table of suspects with a part of 0 crashes of different requests
    When its evidence is: whole, a crash, a crash, a crash, a crash, a crash
    And a node that had a whole answer with it before gets all evidence at once
    Then the part is convicted there

  Scenario Outline: a node that has just started convicts no part by few crashes
    Given a table of suspects that has run for <seconds> s
    When its evidence is: <evidence>
    Then it is <verdict>

    Examples:
      | seconds | evidence                                    | verdict       |
      | 1       | a crash, a crash, a crash                   | not convicted |
      | 1       | a crash, a crash, a crash, a crash, a crash | convicted     |
      | 11      | a crash, a crash, a crash                   | convicted     |
