Feature: The store comes back from an older copy

  # Guards against revisions, leases and entries that go back being taken for the newest.

  Scenario Outline: no fence comes twice, and no two nodes give orders at a time
    Given <nodes> nodes that contend for the lease, beside a store that was copied
    When for <lost> s <meanwhile>, the store is away for <away> s and comes back from the copy as <then>
    Then no fence is used by two nodes, none falls, and orders of two nodes lie 3 s apart
    And some node may give orders within 9 s of the return

    Examples: a lease of 4 s whose holder stops 1 s before
      | nodes | lost | meanwhile                        | away | then                                  |
      | 9     | 1    | nothing happens                  | 0    | nothing happens                       |
      | 9     | 5    | nothing happens                  | 2.5  | nothing happens                       |
      | 9     | 20   | nothing happens                  | 5    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 1    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | the holder is killed                  |
      | 9     | 10   | the holder is killed             | 0    | the holder is cut off from it         |
      | 9     | 10   | the holder is killed             | 0    | the holder freezes for 2 s            |
      | 9     | 10   | the holder is killed             | 0    | the holder freezes for 6 s            |
      | 9     | 10   | the holder is killed             | 0    | all but the holder are turned away    |
      | 9     | 10   | the holder is killed             | 1    | it comes back from the copy once more |
      | 9     | 8    | the holder stops as planned      | 0    | nothing happens                       |
      | 9     | 8    | the holder stops as planned      | 0    | the holder stops as planned           |
      | 9     | 10   | the holder freezes for 6 s       | 0    | nothing happens                       |
      | 9     | 5    | the holder is cut off from it    | 1    | nothing happens                       |
      | 9     | 2    | the holder is killed             | 0    | nothing happens                       |
      | 9     | 10   | the holder is killed             | 0    | all nodes are killed and start again  |
      | 69    | 10   | the holder is killed             | 0    | nothing happens                       |
      | 69    | 10   | the holder is killed             | 1    | the holder freezes for 6 s            |
      | 69    | 10   | the holder is killed             | 0    | all but the holder are turned away    |
      | 69    | 5    | nothing happens                  | 2.5  | nothing happens                       |
      | 195   | 10   | the holder is killed             | 1    | nothing happens                       |

  Scenario Outline: an endpoint that leaves gets nothing, whichever revision its word has
    Given <nodes> nodes that contend for the lease, beside a store that was copied
    When <lost> s later the store comes back, and an endpoint says <when> that it leaves
    Then each node has withheld from it since 1.5 s after its word
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

  Scenario Outline: an endpoint that went in the lost seconds is not used again, and one that came is
    Given <nodes> nodes that contend for the lease, beside a store that was copied
    When an endpoint goes, another one comes, and <lost> s after the copy the store comes back, away for <away> s
    Then no node uses the one that went
    And each node has used the one that came, but for 2 s after the return at most

    Examples:
      | nodes | lost | away |
      | 9     | 4    | 0    |
      | 9     | 20   | 2.5  |
      | 69    | 10   | 1    |

  Scenario Outline: a node that came in the lost seconds stands in the store again
    Given <nodes> nodes that contend for the lease, beside a store that was copied
    When a node starts, and 6 s after the copy the store comes back
    Then the store lists it within <seconds> s of the return

    Examples:
      | nodes | seconds |
      | 9     | 2       |
      | 69    | 6       |

  Scenario Outline: a copy does not prove that the configuration is the newest
    Given a node with version 5 of the configuration in force, where the store came back from a copy
    When version <version> is shown to have been the newest <seconds> s after the return
    Then that is <taken> as a proof

    Examples: what the operator had written is written again within 2 s
      | version | seconds | taken     |
      | 5       | -1      | taken     |
      | 5       | 1       | not taken |
      | 4       | 1       | not taken |
      | 4       | 3       | not taken |
      | 5       | 3       | taken     |

  Scenario Outline: in drawn stories an endpoint that leaves gets nothing, and one that lives is used
    Then the stories from seed <first> to <last> use no endpoint that leaves, and all that live

    Examples: seed 52 had an endpoint that lives missing from four copies in a row
      | first | last |
      | 0     | 7    |
      | 52    | 52   |

  Scenario: in drawn stories no fence comes twice, and no two nodes give orders at a time
    Then 12 drawn stories of 9 nodes whose store comes back from copies keep one holder
