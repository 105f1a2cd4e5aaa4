Feature: Causes of late, refused and lost requests in the nodes' logs

  Scenario Outline: each request counts once, by the first cause that applies
    Given a request that <end> and waited <waited> s, on a route with an objective of 0.4 s and pauses up to 0.25 s
    When the losses in the log are reported
    Then it counts as <reason>

    Examples:
      | end                                   | waited    | reason                               |
      | was answered after 0.1 s              | 0.01      | in time                              |
      | was answered after 0.5 s              | 0.01      | late: its endpoint took long         |
      | was answered after 0.5 s              | 0.3       | late: waited here                    |
      | was answered after 0.5 s              | 0.01, 0.3 | late: sent again                     |
      | was answered after 0.1 s, with a pause of 0.3 s | 0.01 | late: a pause in the stream     |
      | was refused as 503 absent: m is on none of 5 endpoints of s | none | refused: its model is nowhere |
      | was refused as 503 absent: m/a1 is on none of 2 endpoints with its model | none | refused: its adapter is attached nowhere |
      | was refused as 503 no_room: the least loaded of 1 endpoints is at 1.02 | none | refused: no room, its one endpoint full |
      | was refused as 503 no_room: the least loaded of 3 endpoints is at 0.05 | none | refused: no room, all its endpoints with prompts to read |
      | was lost as 502 endpoint_failed: endpoint failed: deadline | 0.01 | lost: endpoint_failed: endpoint failed: deadline |
      | was left                              | 0.01      | left by its caller                   |

  Scenario: a log without an ended request is an error
    Given an empty log
    When the losses in the log are reported
    Then the command exits with 1 and names the log

  Scenario: the report of a hunt includes days that missed the gate
    Given a journal with a hunt of 4 days, one with a broken rule and one that missed the gate
    When the hunts of the journal are reported
    Then 4 days are counted, 1 with a broken rule and 1 short of the gate, and both are listed

  Scenario: a journal without a hunt is an error
    Given a journal with a single run
    When the hunts of the journal are reported
    Then the command exits with 1 and reports that the journal has no hunt
