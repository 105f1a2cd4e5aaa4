Feature: Data centres that are evacuated get nothing new, until that is taken back

  # Guards against requests, orders and loads for endpoints to which the platform asks to send nothing
  # more: it can't be seen from the endpoints, which accept work as before.

  Scenario Outline: what is sent to an endpoint of an evacuated data centre
    Given a node, and endpoints with a model in the data centres a and b
    When the data centres <evacuated> are evacuated
    Then a request goes to an endpoint in <requests>
    And what has been decided may be sent to endpoints in <sends>

    Examples:
      | evacuated | requests | sends   |
      | none      | a or b   | a and b |
      | a         | b        | b       |
      | b         | a        | a       |
      | a and b   | neither  | neither |

  Scenario Outline: requests that wait for an endpoint of an evacuated data centre
    Given a node, and endpoints with a model in the data centres a and b, those in <full> full
    And the data centres <first> are evacuated
    When a request waits, and then the data centres <then> are evacuated
    Then it goes to an endpoint in <goes>

    Examples:
      | full  | first   | then | goes    |
      | a     | b       | none | b       |
      | none  | a and b | a    | b       |
      | a     | b       | a    | b       |
      | a     | none    | a    | b       |

  Scenario: a request without any endpoint is refused as not run when its wait is over
    Given a node, and endpoints with a model in the data centres a and b
    When the data centres a and b are evacuated
    And a request arrives, and 0.5 s pass
    Then it is refused with 503, with a time to come back

  Scenario: a request that runs in a data centre ends there
    Given a node, and endpoints with a model in the data centres a and b
    When requests run in a and b, and then the data centres a are evacuated
    Then they end where they run

  Scenario Outline: an endpoint of an evacuated data centre stays closed when <what>
    Given a node, and endpoints with a model in the data centres a and b
    When the data centres a are evacuated
    And <what>
    Then a request goes to an endpoint in b

    Examples:
      | what                                          |
      | its entry lapses and is written again         |
      | its process restarts                          |
      | its report states that it is live             |
      | another endpoint joins in the data centre a   |

  Scenario Outline: of two lists the later one holds, whichever arrives last
    Given a node, and endpoints with a model in the data centres a and b
    When it gets the lists <lists>
    Then the data centres <found> are evacuated, and <shared> lists were shared

    # ERA.REVISION and the data centres.
    Examples:
      | lists                 | found   | shared |
      | 0.5: a                | a       | 1      |
      | 0.5: a, 0.6: none     | none    | 2      |
      | 0.6: none, 0.5: a     | none    | 0      |
      | 0.6: b, 0.5: a        | b       | 1      |
      | 0.5: a, 0.9: a        | a       | 1      |
      | 0.9: a, 0.5: none     | a       | 1      |
      | 0.9: a, 1.2: b        | a and b | 2      |
      | 1.2: b, 0.9: a        | b       | 1      |
      | 0.9: a, 1.2: none     | a       | 2      |
      | 0.9: a, 1.2: a, 1.3: none | none | 3     |
      | 0.9: none, 1.2: a     | a       | 1      |

  Scenario Outline: an evacuation that a restored store lacks holds until it could be written again
    Given a node, and endpoints with a model in the data centres a and b
    When it gets the lists <lists>
    And <seconds> s pass afterwards
    Then the data centres <found> are evacuated, and <shared> lists were shared

    Examples:
      | lists                                 | seconds | found   | shared |
      | 0.9: a, 1.2: none                     | 2.0     | a       | 2      |
      | 0.9: a, 1.2: none                     | 2.4     | none    | 3      |
      | 0.9: a, 1.2: none, 1.3: a             | 2.4     | a       | 3      |
      | 0.9: a and b, 1.2: b                  | 2.4     | b       | 3      |
      | 0.9: a, 1.2: none, 2.1: none          | 2.4     | none    | 4      |

  Scenario: the lease holder orders nothing there, and loads elsewhere what was only there
    Given a lease holder with runners of m in a and of n in b
    When the data centres a are evacuated, and m is requested for 12 s
    Then a runner in b holds m
    And no order and no read went to a

  Scenario: the lease holder reads no report there, though orders are uncertain
    Given a lease holder with runners of m in a and of n in b
    And the runner in a is to be read, as its orders are uncertain
    When the data centres a are evacuated, and m is requested for 3 s
    Then no order and no read went to a
    When the data centres none are evacuated, and m is requested for 3 s
    Then reads went to a

  Scenario Outline: all nodes know of an evacuation and of its end, whatever happens to the watchers
    Given <nodes> relay nodes that have run for 8 s
    When <trouble>
    And an evacuation of all endpoints begins
    Then all running nodes withhold requests within <seconds> s
    When that evacuation is taken back
    Then all running nodes may send within <seconds> s

    Examples:
      | nodes | trouble                                  | seconds |
      | 8     | nothing happens                          | 1.5     |
      | 20    | nothing happens                          | 1.5     |
      | 63    | nothing happens                          | 1.5     |
      | 63    | all that watch the store are killed      | 3.0     |
      | 63    | all that watch the store freeze          | 4.0     |
      | 63    | all that watch the store are cut from it | 3.0     |
      | 63    | all relays are killed                    | 4.0     |

  Scenario: a node that starts meanwhile, without the store, learns of an evacuation from the others
    Given 63 relay nodes that have run for 8 s
    When an evacuation of all endpoints begins
    And a node starts that the store does not answer
    Then all running nodes withhold requests within 3.0 s

  Scenario: a node that was cut off from the others meanwhile learns of the end from them
    Given 63 relay nodes that have run for 8 s
    When an evacuation of all endpoints begins
    Then all running nodes withhold requests within 1.5 s
    When a leaf is cut off while that evacuation is taken back
    Then all running nodes may send within 6.0 s
