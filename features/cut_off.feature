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
