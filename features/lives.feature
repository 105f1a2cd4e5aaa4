Feature: Endpoints that restart under the same name, with empty memory

  Scenario Outline: everything known of the earlier process is dropped at once
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners report their start times
    When <state>, and e1 restarts
    Then no request for m or m/a2 is sent there until it holds them again
    And m is loaded again within <seconds> s, with the new process's own order count
    And no runner is assigned more memory than it has

    Examples:
      | state                                    | seconds |
      | nothing else happens                     | 2       |
      | a load is under way there                | 2       |
      | an adapter is being attached there       | 2       |
      | an adapter has just been withdrawn there | 2       |
      | it is leaving                            | 2       |
      | it was found down                        | 2       |
      | it was ejected                           | 2       |
      | it restarted a moment before             | 2       |
      | the lease changes hands                  | 9       |

  Scenario Outline: a late message about the earlier process has no effect
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners report their start times
    When nothing else happens, and e1 restarts
    And <message> of the earlier process arrives late
    Then no request for m or m/a2 is sent there until it holds them again

    Examples:
      | message                             |
      | a row of the list                   |
      | a report that another node shares   |
      | its own report                      |
      | a list with the endpoint as leaving |

  Scenario Outline: a clock that was stepped back does not hide the new process
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners report their start times
    When e1 restarts with an earlier start time, and <who> it
    Then the new process is known within <seconds> s

    Examples:
      | who                       | seconds |
      | the lease holder reads    | 2       |
      | another node has verified | 0       |

  Scenario: an endpoint that reports no start time stays in use
    Given a lease holder over runners holding m+a2, n of 200 GB
    When its row has no start time, after one that had
    Then it is used as before

  Scenario: a load that the earlier process did not answer may be carried out by the new one
    Given a lease holder over runners holding m+a2, n of 200 GB
    And its runners report their start times
    When a load is under way there, and e1 restarts
    Then that load counts as memory that may be taken there for 12 s

  Scenario Outline: all nodes learn of the new process, in whatever order messages arrive
    Given <nodes> relay nodes that have run for 8 s
    When an endpoint restarts, holding another model, and <message>
    Then all nodes know within <seconds> s what it holds, and still do 3 s later

    Examples:
      | nodes | message                                              | seconds |
      | 8     | nothing else follows                                 | 1.5     |
      | 69    | nothing else follows                                 | 1.5     |
      | 195   | nothing else follows                                 | 1.5     |
      | 69    | the last row of its earlier process is written again | 1.5     |
      | 69    | it restarts once more within a second                | 2.5     |
      | 69    | all that watch the store freeze                      | 4.0     |
      | 69    | its clock has stepped back                           | 16.0    |
