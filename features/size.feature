Feature: Many relay nodes, who knows what and who asks the store

  Scenario Outline: all nodes know all others, by few links and few calls
    Given <nodes> relay nodes that have run for 8 s
    Then each node knows the <others> others
    And no node that is no relay holds more than <links> links
    And at most 3 nodes watch the store
    And the nodes' parts of the slack for resends are 430 at most together

    Examples:
      | nodes | others | links |
      | 13    | 12     | 12    |
      | 24    | 23     | 23    |
      | 25    | 24     | 24    |
      | 63    | 62     | 24    |
      | 105   | 104    | 24    |

  Scenario: a small deployment asks the store on every node
    Given 8 relay nodes that have run for 8 s
    Then each node knows the 7 others
    And 8 nodes watch the store

  Scenario: endpoint lists leave the list of nodes as it is
    Given a relay node that 194 others are listed to
    When the list of endpoints comes
    Then it knows 195 nodes yet, and is no part of a mesh
    And its part of the slack for resends is for 195 nodes at least

  Scenario Outline: what becomes of a node is known everywhere
    Given 63 relay nodes that have run for 8 s
    When <node> <fate>
    Then all others know within <seconds> s that it <state>

    Examples:
      | node          | fate                    | seconds | state      |
      | a leaf        | is killed               | 1.5     | is gone    |
      | a relay       | is killed               | 1.5     | is gone    |
      | a leaf        | leaves as planned       | 1.5     | is leaving |
      | a relay       | leaves as planned       | 1.5     | is leaving |
      | a leaf        | freezes                 | 6.0     | is gone    |
      | a relay       | freezes                 | 6.0     | is gone    |
      | a leaf        | is started again        | 3.0     | is new     |
      | a relay       | is started again        | 3.0     | is new     |

  Scenario Outline: a node that only seemed gone is taken back
    Given 63 relay nodes that have run for 8 s
    When <node> <fate> for 7 s
    Then all others know within <seconds> s that it is there
    And each node knows the 62 others

    Examples:
      | node    | fate                           | seconds |
      | a leaf  | freezes                        | 6.0     |
      | a relay | freezes                        | 6.0     |
      | a leaf  | is cut off from the others     | 6.0     |
      | a leaf  | hears nobody                   | 6.0     |
      | a relay | is heard by nobody             | 6.0     |

  Scenario Outline: a leaving endpoint is known everywhere, whatever happens to who watches
    Given <nodes> relay nodes that have run for 8 s
    When <trouble>
    And an endpoint's entry says that it is leaving
    Then all nodes that run know of it within <seconds> s

    Examples:
      | nodes | trouble                                               | seconds |
      | 20    | nothing happens                                       | 1.5     |
      | 63    | nothing happens                                       | 1.5     |
      | 20    | all that watch the store are killed                   | 3.0     |
      | 63    | all that watch the store are killed                   | 3.0     |
      | 63    | all that watch the store freeze                       | 4.0     |
      | 63    | all that watch the store are cut from it              | 3.0     |
      | 20    | all that watch the store are cut from it              | 3.0     |
      | 63    | all that watch the store leave as planned             | 3.0     |
      | 63    | the relays of a data centre are killed                | 3.0     |
      | 63    | the relays of a data centre freeze                    | 4.0     |
      | 63    | the relays of a data centre are cut from the store    | 3.0     |
      | 63    | all relays are cut from the store                     | 4.0     |
      | 63    | all relays are killed                                 | 4.0     |

  Scenario Outline: an endpoint that left does not come back by an older list
    Given 63 relay nodes that have run for 8 s
    When an endpoint's entry goes, and <trouble>
    Then no node uses that endpoint 4 s later, nor after

    Examples:
      | trouble                                   |
      | nothing happens                           |
      | the relays of a data centre are killed    |
      | all that watch the store are killed       |
      | an older list comes later                 |

  Scenario Outline: the store is asked by few again once trouble is over
    Given 63 relay nodes that have run for 8 s
    When <trouble> for 8 s
    Then 6 s later at most 3 nodes watch the store

    Examples:
      | trouble                                   |
      | all relays are cut from the store         |
      | all nodes are cut from the store          |

  Scenario Outline: demand and work are summed once, wherever a node hangs
    Given <nodes> relay nodes that have run for 8 s
    When each node is asked for 100 tokens a second of a model and has 2 requests at an endpoint
    And 9 s pass
    Then a relay sums a demand of <tokens> tokens a second, <per_cent> % either way
    And each node counts the <requests> requests of the others there

    Examples:
      | nodes | tokens | requests | per_cent |
      | 20    | 2000   | 38       | 5        |
      | 63    | 6300   | 124      | 5        |

  Scenario: sums count nobody twice when relays die
    Given 63 relay nodes that have run for 8 s
    When each node is asked for 100 tokens a second of a model and has 2 requests at an endpoint
    And the relays of a data centre are killed
    And 4 s pass
    Then each node counts the requests of the others that run there

  Scenario: a want reaches the lease holder by two links at most
    Given 63 relay nodes that have run for 8 s
    And one of the relays holds the lease
    When a leaf tells of a want
    Then the holder has it within 0.05 s
