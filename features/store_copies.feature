Feature: The platform's store is restored from an older copy

  # Guards against old revisions, leases and entries being taken for the newest ones after the platform's store
  # was restored from a copy that lacks the latest writes.

  Scenario Outline: no fencing token is used twice, and no two nodes give orders at the same time
    Given <nodes> nodes that contend for the lease, and a copy of the store
    When for <lost> s <meanwhile>, the store is down for <down> s and is restored from the copy as <then>
    Then no two nodes use the same fencing token, none decreases, and orders of two nodes are 3 s apart
    And some node may give orders within 9 s of the restore

    Examples: a lease of 4 s whose holder stops 1 s before
      | nodes | lost | meanwhile                        | down | then                                  |
      | 9     | 1    | nothing happens                  | 0    | nothing happens                       |
      | 9     | 5    | nothing happens                  | 2.5  | nothing happens                       |
      | 9     | 20   | nothing happens                  | 5    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 1    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | the holder is killed                  |
      | 9     | 10   | the holder is killed             | 0    | the holder is cut off from it         |
      | 9     | 10   | the holder is killed             | 0    | the holder freezes for 2 s            |
      | 9     | 10   | the holder is killed             | 0    | the holder freezes for 6 s            |
      | 9     | 10   | the holder is killed             | 0    | all but the holder are cut off        |
      | 9     | 10   | the holder is killed             | 1    | it is restored from the copy again    |
      | 9     | 8    | the holder stops as planned      | 0    | nothing happens                       |
      | 9     | 8    | the holder stops as planned      | 0    | the holder stops as planned           |
      | 9     | 10   | the holder freezes for 6 s       | 0    | nothing happens                       |
      | 9     | 5    | the holder is cut off from it    | 1    | nothing happens                       |
      | 9     | 2    | the holder is killed             | 0    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | all nodes are killed and restart      |
      | 69    | 10   | the holder is killed             | 0    | nothing happens                       |
      | 69    | 10   | the holder is killed             | 1    | the holder freezes for 6 s            |
      | 69    | 10   | the holder is killed             | 0    | all but the holder are cut off        |
      | 69    | 5    | nothing happens                  | 2.5  | nothing happens                       |
      | 195   | 10   | the holder is killed             | 1    | nothing happens                       |

  Scenario Outline: a leaving endpoint is not used, whichever revision its entry has
    Given <nodes> nodes that contend for the lease, and a copy of the store
    When the store is restored <lost> s later, and <when> that an endpoint announces that it leaves
    Then no node uses it later than 1.5 s after the announcement
    And no node uses it again

    Examples:
      | nodes | lost | when                 |
      | 9     | 2    | 0.05 s after         |
      | 9     | 10   | 0.05 s after         |
      | 9     | 10   | 3 s after            |
      | 9     | 10   | 4 s before           |
      | 9     | 20   | 15 s before          |
      | 69    | 10   | 0.05 s after         |
      | 69    | 10   | 4 s before           |
      | 195   | 10   | 3 s after            |

  Scenario Outline: an endpoint that was removed after the copy is not used again, and one that was added is
    Given <nodes> nodes that contend for the lease, and a copy of the store
    When an endpoint is removed, another is added, and <lost> s after the copy the store is restored, down for <down> s
    Then no node uses the removed endpoint
    And each node uses the added endpoint, except for 2 s after the restore at most

    Examples:
      | nodes | lost | down |
      | 9     | 4    | 0    |
      | 9     | 20   | 2.5  |
      | 69    | 10   | 1    |

  Scenario Outline: a node that started after the copy is listed in the store again
    Given <nodes> nodes that contend for the lease, and a copy of the store
    When a node starts, and 6 s after the copy the store is restored
    Then the store lists it within <seconds> s of the restore

    Examples:
      | nodes | seconds |
      | 9     | 2       |
      | 69    | 6       |

  Scenario Outline: a restored copy does not prove that the configuration is the newest
    Given a node with version 5 of the configuration in force, after the store was restored from a copy
    When version <version> is shown to have been the newest <seconds> s after the restore
    Then that is <accepted> as a proof

    Examples: the operator repeats the writes that the copy lacks within 2 s
      | version | seconds | accepted     |
      | 5       | -1      | accepted     |
      | 5       | 1       | not accepted |
      | 4       | 1       | not accepted |
      | 4       | 3       | not accepted |
      | 5       | 3       | accepted     |

  Scenario Outline: in random runs no leaving endpoint is used, and every live one is
    Then the runs with seeds <first> to <last> use no leaving endpoint, and every live one

    Examples: with seed 52 a live endpoint was missing from four copies in a row
      | first | last |
      | 0     | 7    |
      | 52    | 52   |

  Scenario: in random runs no fencing token is used twice, and no two nodes give orders at the same time
    Then 12 random runs of 9 nodes whose store is restored from copies have one holder at a time
