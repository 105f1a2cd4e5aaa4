@relay
Feature: A real node over a store that comes back from an older copy

  # Guards against a node that goes on by the revisions of the store as it was.

  Scenario Outline: what the store tells of its era in a head
    Given a relay node with one endpoint that does: answer
    When the store names its era as <named>
    Then the node knows era <known>, and says <line>

    Examples:
      | named         | known | line                |
      | 3             | 3     | store_era           |
      | 3 and 2       | 3     | store_era           |
      | 0             | 0     | nothing             |
      | nothing       | 0     | nothing             |
      | -1            | 0     | store_era_malformed |
      | 1.5           | 0     | store_era_malformed |
      | two           | 0     | store_era_malformed |
      | 9999999999999 | 0     | store_era_malformed |

  Scenario Outline: an endpoint that leaves after the return gets nothing more
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    And the store is copied, and <lost> revisions of others and one of the endpoint follow
    When the store comes back from the copy, away for <away> s, and the endpoint's entry says that it leaves
    Then the node knows within 1.5 s that it leaves

    Examples:
      | lost | away |
      | 0    | 0    |
      | 30   | 0    |
      | 30   | 0.6  |

  Scenario Outline: the holder of before goes on in its epoch, under a lease of the new era
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store comes back from the copy, away for <away> s
    Then the node holds the lease in the same epoch, in an object of era 1

    Examples:
      | away |
      | 0    |
      | 0.6  |

  Scenario: a node's own row that a copy lacks is written again
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store comes back from a copy from before the node's start, away for 0 s
    Then the store has the node's row within 2 s

  Scenario: a watch that waits when the store comes back is not waited for
    Given a relay node with one endpoint that does: answer
    When the store comes back from a copy of now, and only another node tells of it
    Then the node has listed endpoints and configuration anew within 0.5 s

  Scenario: an answer of an era that has ended is none
    Given a relay node with one endpoint that does: answer
    When the node knows era 3, and the store answers in era 2
    Then its calls fail as unreachable

  Scenario: a configuration that bears the revision of another era is read
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    And a configuration of version 6 is in force, and the store was copied just before it
    When the store comes back from the copy, and version 7 is written upon its revision
    Then version 7 is in force within 2 s

  Scenario: verdicts outlast the loss of all nodes and of the newest lease
    Given a relay node with one endpoint that does: answer
    And the lease of the era before keeps a verdict
    When the node is killed, and another starts in its place after the store came back
    Then that knows the verdict within 1.5 s
    And it does not hold the lease before a whole term has passed
