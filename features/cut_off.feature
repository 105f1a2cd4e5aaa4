@relay
Feature: Nodes without a way to any endpoint

  Scenario Outline: callers of nodes without a way to any endpoint are served
    Given 5 linked nodes that share three endpoints, and callers at each
    When <cut> nodes' links to all endpoints are <how> for 6 s
    Then from 3 s after the cut its nodes serve two thirds as often as the others at least
    And the other nodes serve 98 in 100 throughout
    And no node was told that an endpoint has ended
    And every answer is whole, no unrepeatable request ran twice, and none ran that was refused
    And 2 s after the cut all nodes serve 98 in 100

    Examples:
      | cut | how                        |
      | 3   | silenced                   |
      | 3   | reset                      |
      | 3   | closed                     |
      | 3   | refused                    |
      | 4   | refused, open ones live on |

  Scenario Outline: a stage that stood still goes on until it can tell
    Given 5 linked nodes that share three endpoints, and callers at each
    And the stage stands still for <stall> s, <at> s after the cut
    When 3 nodes' links to all endpoints are <how> for 3 s
    Then the other nodes serve 98 in 100 throughout
    And every answer is whole, no unrepeatable request ran twice, and none ran that was refused
    And 2 s after the cut all nodes serve 98 in 100

    Examples:
      | how      | stall | at  |
      | silenced | 5.5   | 1.0 |
      | reset    | 2.5   | 2.9 |
      | reset    | 2.5   | 5.5 |
