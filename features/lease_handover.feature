Feature: Orders resume soon while nodes are stopped one after the other

  # Guards against many seconds without any order while boxes are stopped in turn: a holder that stopped
  # before its turn to give orders made the next one wait the whole gap again, as if orders had just been
  # given. Requested models and adapters were resident nowhere meanwhile.

  Scenario Outline: the gap between orders of two holders passes once
    Given <nodes> nodes that contend for the lease
    When the lease holder is stopped as planned, <times> times, <apart> s apart
    Then at most <most> s passed without orders
    And each fence belongs to one node, fences rise, and orders of two nodes are 3 s apart

    # 3.3 s between orders of two holders, and 1 s for the lease to change hands.
    Examples:
      | nodes | times | apart | most |
      | 9     | 1     | 1.3   | 4.3  |
      | 9     | 2     | 1.3   | 4.3  |
      | 9     | 4     | 1.3   | 4.3  |
      | 9     | 3     | 0.6   | 4.3  |
      | 9     | 3     | 2.9   | 4.3  |
      | 69    | 4     | 1.3   | 4.3  |

  # Guards against a second lost at each hand-over: nodes that had never read the lease wrote without a
  # valid version, failed, and tried again only when their next write was due.
  Scenario Outline: a released lease is acquired soon, even by nodes that have never read it
    Given <nodes> nodes that contend for the lease
    When the lease holder is stopped as planned
    Then another node holds the lease within 0.6 s

    Examples:
      | nodes |
      | 9     |
      | 69    |

  # Guards against first plans of a new holder that unload what is asked for, as its forecast of demand
  # rose from nothing: in the simulation of models asked for now and then a quarter more were loaded.
  Scenario: a node that takes the lease over knows what has been asked for
    Given a node that hears from another that 1000 tokens a second are asked of a model, for 6 s
    When it takes the lease, and has not ticked since
    Then its forecast for the model is 1000 tokens a second, to 5 in 100

  # Guards against a new holder that loads last what has been missed longest, as what callers requested
  # in vain was counted by the holder alone, or that goes on with what it counted when it last held it.
  Scenario Outline: a node that takes the lease over knows what has been missed
    Given a node that hears from another that 1000 tokens a second are asked of a model, for 6 s, which <held>
    When it takes the lease, and has not ticked since
    Then its deficit for the model is between <least> and <most> tokens

    Examples:
      | held                                  | least | most |
      | no runner holds                       | 4000  | 6100 |
      | a runner has held for the last second | 0     | 0    |

  # Guards against a model that is loaded twice, in the place of another, as the new holder counts its own orders alone.
  Scenario Outline: a node that takes the lease over counts the loads that the holder before it ordered
    Given two runners with a copy of a model that is asked for, one of which <does>
    When another node takes the lease, and 5 s pass
    Then it has ordered <loads> loads of the model

    Examples:
      | does                                          | loads |
      | is to have loaded it in 8 s                   | 0     |
      | was to have loaded it 3 s ago                 | 1     |
      | was to load it and carries out no order       | 1     |
      | carries out an order that nobody has heard of | 1     |

  # Guards against a new holder that gives the room freed for callers who are due to others, as load requests
  # are in the memory of the holder that they were sent to.
  Scenario Outline: a new lease holder is asked for what callers are due for
    Given a node that asks the holder of epoch 2 for a model that its caller is due for within 3.5 s
    When <who> reports epoch <epoch>, <seconds> s later
    Then the node asks for the model <times> times more

    Examples:
      | who             | epoch | seconds | times |
      | another node    | 3     | 1       | 1     |
      | the same holder | 2     | 1       | 0     |
      | another node    | 3     | 6       | 0     |
