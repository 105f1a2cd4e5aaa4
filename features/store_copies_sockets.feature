@relay
Feature: A node over sockets, with a store that is restored from an older copy

  # Guards against a node that still compares revisions with those from before the restore.

  Scenario Outline: the era in the head of a response of the store
    Given a relay node with one endpoint that does: answer
    When the store's response contains the era <values>
    Then the node knows era <known>, and logs <event>

    Examples:
      | values        | known | event               |
      | 3             | 3     | store_era           |
      | 3 and 2       | 3     | store_era           |
      | 0             | 0     | nothing             |
      | nothing       | 0     | nothing             |
      | -1            | 0     | store_era_malformed |
      | 1.5           | 0     | store_era_malformed |
      | two           | 0     | store_era_malformed |
      | 9999999999999 | 0     | store_era_malformed |

  Scenario Outline: an endpoint that leaves after the restore is known to leave
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    And the store is copied, and <lost> revisions of others and one of the endpoint follow
    When the store is restored from the copy after <down> s of downtime, and the endpoint's entry shows that it leaves
    Then the node knows within 1.5 s that it leaves

    Examples:
      | lost | down |
      | 0    | 0    |
      | 30   | 0    |
      | 30   | 0.6  |

  Scenario: an endpoint that leaves is known to leave if the era began between two watches
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    And the store is copied, and 0 revisions of others and one of the endpoint follow
    When the store is restored from the copy, another node announces it at once, and the endpoint leaves
    Then the node knows within 1.5 s that it leaves

  Scenario Outline: the lease holder keeps its epoch, with a lease in the new era
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store is restored from the copy after <down> s of downtime
    Then the node holds the lease in the same epoch, in an object of era 1

    Examples:
      | down |
      | 0    |
      | 0.6  |

  Scenario: a node's own row that the copy lacks is written again
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store is restored from a copy from before the node's start after 0 s of downtime
    Then the store has the node's row within 2 s

  Scenario: a watch that is waiting when the store is restored is cancelled
    Given a relay node with one endpoint that does: answer
    When the store is restored from a current copy, and only another node announces the era
    Then the node has listed endpoints and configuration again within 0.5 s

  Scenario: a response of an earlier era counts as a failed call
    Given a relay node with one endpoint that does: answer
    When the node knows era 3, and the store responds in era 2
    Then its calls fail as unreachable

  Scenario: a configuration is read although its revision equals one of the era before
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    And a configuration of version 6 is in force, and the store was copied just before it
    When the store is restored from the copy, and version 7 is written with the same revision
    Then version 7 is in force within 2 s

  Scenario: verdicts survive the loss of all nodes and of the newest lease
    Given a relay node with one endpoint that does: answer
    And the lease of the era before contains a verdict
    When the node is killed, and another starts in its place after the store was restored
    Then the new node knows the verdict within 1.5 s
    And it does not hold the lease before a whole term has passed
