Feature: Endpoints that start again under their name, holding nothing

  Scenario Outline: what was known of the life before ends at once
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners tell when they were started
    When <state>, and e1 starts again
    Then no request for m or m/a2 is sent there until it holds them again
    And m is loaded again within <seconds> s, upon the new life's own count
    And no runner is promised more than it has

    Examples:
      | state                                  | seconds |
      | nothing else happens                   | 2       |
      | a load is under way there              | 2       |
      | an adapter is being attached there     | 2       |
      | an adapter has just been withdrawn there | 2     |
      | it is leaving                          | 2       |
      | it was found down                      | 2       |
      | it was ejected                         | 2       |
      | it has started again a moment before   | 2       |
      | the lease changes hands                | 9       |

  Scenario Outline: a late word of the life before revives nothing
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners tell when they were started
    When nothing else happens, and e1 starts again
    And <word> of the life before comes late
    Then no request for m or m/a2 is sent there until it holds them again

    Examples:
      | word                                 |
      | a row of the list                    |
      | a report that another node shares    |
      | its own report                       |
      | a list of the endpoints as leaving   |

  Scenario Outline: a clock that stepped back does not hide the new life
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners tell when they were started
    When e1 starts again with an earlier time, and <who> it
    Then the new life is known within <seconds> s

    Examples:
      | who                        | seconds |
      | the lease holder reads     | 2       |
      | another node is sure of    | 0       |

  Scenario: an endpoint that tells no start works as before
    Given a lease holder over runners holding m+a2, n of 200 GB
    When its row tells no start, after one that did
    Then it is used as it was

  Scenario: a load that got no answer in the life before may come in the new one
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners tell when they were started
    When a load is under way there, and e1 starts again
    Then that load counts as memory that may be taken there for 12 s

  Scenario Outline: all nodes know of the new life, whatever order they hear it in
    Given <nodes> relay nodes that have run for 8 s
    When an endpoint starts again, holding another model, and <word>
    Then all nodes know within <seconds> s what it holds, and know it 3 s later

    Examples:
      | nodes | word                                              | seconds |
      | 8     | nothing more is said                              | 1.5     |
      | 69    | nothing more is said                              | 1.5     |
      | 195   | nothing more is said                              | 1.5     |
      | 69    | its last row of the life before is written again  | 1.5     |
      | 69    | it starts once more within a second               | 2.5     |
      | 69    | all that watch the store freeze                   | 4.0     |
      | 69    | its clock has stepped back                        | 16.0    |
