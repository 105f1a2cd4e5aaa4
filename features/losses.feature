Feature: Where tries were lost, told from the nodes' logs

  Scenario Outline: each try counts once, by the first thing that made it late or lost
    Given a try that <end> and waited <waited> s, on a route of 0.4 s that bears a pause of 0.25 s
    When the losses of its log are told
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

  Scenario: a log that tells of no try is an error
    Given an empty log
    When its losses are asked for
    Then the command ends with 1 and names the log

  Scenario: what a hunt found is told with its days that fell short
    Given a journal with a hunt of 4 days, one with a broken rule and one short of the gate
    When what its hunts found is told
    Then 4 days are counted, 1 broken and 1 short, and both are listed

  Scenario: a journal without a hunt is an error
    Given a journal with a single run
    When what its hunts found is told
    Then the command ends with 1 and says that there is none
