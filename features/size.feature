Feature: Large deployments of relay nodes: membership, links and watchers of the store

  Scenario Outline: each node knows all others, with few links and few watchers of the store
    Given <nodes> relay nodes that have run for 8 s
    Then each node knows the <others> others
    And no leaf holds more than <links> links
    And at most 3 nodes watch the store
    And the nodes' shares of the retry slack are 430 at most in all

    Examples:
      | nodes | others | links |
      | 13    | 12     | 12    |
      | 24    | 23     | 23    |
      | 25    | 24     | 24    |
      | 63    | 62     | 24    |
      | 105   | 104    | 24    |

  Scenario: in a small deployment every node watches the store
    Given 8 relay nodes that have run for 8 s
    Then each node knows the 7 others
    And 8 nodes watch the store

  Scenario: a list of endpoints does not change the list of nodes
    Given a relay node with 194 others in its list
    When the list of endpoints arrives
    Then it still knows 195 nodes, and is not part of a mesh
    And its share of the retry slack is that of 195 nodes at least

  Scenario Outline: all nodes learn of a node's failure, shutdown or restart
    Given 63 relay nodes that have run for 8 s
    When <node> <fate>
    Then all others know within <seconds> s that it <state>

    Examples:
      | node    | fate              | seconds | state      |
      | a leaf  | is killed         | 1.5     | is gone    |
      | a relay | is killed         | 1.5     | is gone    |
      | a leaf  | leaves as planned | 1.5     | is leaving |
      | a relay | leaves as planned | 1.5     | is leaving |
      | a leaf  | freezes           | 6.0     | is gone    |
      | a relay | freezes           | 6.0     | is gone    |
      | a leaf  | is started again  | 3.0     | is new     |
      | a relay | is started again  | 3.0     | is new     |

  Scenario Outline: a node that was out of reach for a while is listed as live again
    Given 63 relay nodes that have run for 8 s
    When <node> <fate> for 7 s
    Then all others know within <seconds> s that it is there
    And each node knows the 62 others

    Examples:
      | node    | fate                       | seconds |
      | a leaf  | freezes                    | 6.0     |
      | a relay | freezes                    | 6.0     |
      | a leaf  | is cut off from the others | 6.0     |
      | a leaf  | receives no messages       | 6.0     |
      | a relay | delivers no messages       | 6.0     |

  Scenario Outline: all nodes learn of a leaving endpoint, whatever happens to the watchers
    Given <nodes> relay nodes that have run for 8 s
    When <trouble>
    And an endpoint's entry states that it is leaving
    Then all running nodes know of it within <seconds> s

    Examples:
      | nodes | trouble                                            | seconds |
      | 20    | nothing happens                                    | 1.5     |
      | 63    | nothing happens                                    | 1.5     |
      | 20    | all that watch the store are killed                | 3.0     |
      | 63    | all that watch the store are killed                | 3.0     |
      | 63    | all that watch the store freeze                    | 4.0     |
      | 63    | all that watch the store are cut from it           | 3.0     |
      | 20    | all that watch the store are cut from it           | 3.0     |
      | 63    | all that watch the store leave as planned          | 3.0     |
      | 63    | the relays of a data centre are killed             | 3.0     |
      | 63    | the relays of a data centre freeze                 | 4.0     |
      | 63    | the relays of a data centre are cut from the store | 3.0     |
      | 63    | all relays are cut from the store                  | 4.0     |
      | 63    | all relays are killed                              | 4.0     |

  Scenario Outline: an older list does not restore an endpoint that left
    Given 63 relay nodes that have run for 8 s
    When an endpoint's entry goes, and <trouble>
    Then no node uses that endpoint 4 s later, nor after

    Examples:
      | trouble                                |
      | nothing happens                        |
      | the relays of a data centre are killed |
      | all that watch the store are killed    |
      | an older list comes later              |

  Scenario Outline: few nodes watch the store again after an outage
    Given 63 relay nodes that have run for 8 s
    When <trouble> for 8 s
    Then 6 s later at most 3 nodes watch the store

    Examples:
      | trouble                           |
      | all relays are cut from the store |
      | all nodes are cut from the store  |

  Scenario Outline: each node's demand and requests in flight are summed once, wherever it links to
    Given <nodes> relay nodes that have run for 8 s
    When each node is asked for 100 tokens a second of a model and has 2 requests at an endpoint
    And 9 s pass
    Then a relay sums a demand of <tokens> tokens a second, <per_cent> % either way
    And each node counts the <requests> requests of the others there

    Examples:
      | nodes | tokens | requests | per_cent |
      | 20    | 2000   | 38       | 5        |
      | 63    | 6300   | 124      | 5        |

  Scenario: sums count no node twice when relays are killed
    Given 63 relay nodes that have run for 8 s
    When each node is asked for 100 tokens a second of a model and has 2 requests at an endpoint
    And the relays of a data centre are killed
    And 4 s pass
    Then each node counts the requests of the others that run there

  Scenario: the demand for a missing adapter reaches the lease holder over two links at most
    Given 63 relay nodes that have run for 8 s
    And one of the relays holds the lease
    When a leaf sends the demand for a missing adapter
    Then the holder has it within 0.05 s
