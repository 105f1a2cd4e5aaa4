@relay
Feature: A node's row that another client overwrites while it runs is written again

  # Guards against a node that nodes which start later look for at another address, or not at all,
  # as it writes its row once.

  Scenario Outline: the row of a running node is written again
    Given a node that has written its row, and reads the nodes' rows each 0.5 s
    When its row <is overwritten>
    Then its row has its address again within 5 s
    And its row is not written once more

    Examples:
      | is overwritten            |
      | names another address     |
      | is a number               |
      | is nested 2,000 deep      |
      | is gone                   |

  Scenario: the row of a node that leaves is not written again
    Given a node that has written its row, and reads the nodes' rows each 0.5 s
    When it begins to leave, and its row is gone
    Then its row is not there for 2 s
