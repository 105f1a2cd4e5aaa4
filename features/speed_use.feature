Feature: Use of endpoints' speeds by decisions that count endpoints

  Streams are in time if their first event comes within 0.4 s and no pause is over 0.18 s. A
  runner of speed 1.0 reads 19,200 prompt tokens a second.

  Scenario: slow runners get what they can read in time
    Given three nodes before runners of speeds 0.7, 0.7 and 1.7, at 0.8 of their joint capacity
    When the load is played with the speeds known, unknown, and to a scheduler that knows all
    Then with the speeds known the share in time is at most 0.05 below that of the scheduler
    And with the speeds unknown it is at least 0.1 below that

  Scenario: a runner that turns slow is spared once its speed is known
    Given three nodes before three equal runners, one of which is five times slower for 6 s
    When the load is played, and its speed is known 1 s late
    Then each node has at most one run's length of late requests of those that arrive after that
    And no request is sent twice

  Scenario Outline: equal speeds change no decision
    Given events at three nodes before equal runners, at <load> of their joint capacity
    When they are decided with the default options, and with endpoint speeds in use
    Then the effects are the same

    Examples:
      | load |
      | 0.8  |
      | 1.3  |

  Scenario Outline: a prompt goes where it is read in time, or else where it is read the soonest
    Given a node before runners of m: <runners>
    When a prompt of <tokens> tokens arrives for m
    Then its runner is <runner>

    Examples: 4,096 tokens may be unread at speed 1.0, and a part of that at others
      | runners                               | tokens | runner |
      | e1 speed 0.5 unread 1500              | 600    | none   |
      | e1 speed 0.5 unread 1500              | 500    | e1     |
      | e1 speed 1.7 unread 4500              | 2000   | e1     |
      | e1 speed 1.7 unread 4500              | 2500   | none   |
      | e1 speed 0.5 unread 0                 | 4000   | e1     |
      | e1 speed 0.2 unread 0                 | 4000   | e1     |

    Examples: a prompt beyond an idle runner's limit goes there only if no other would read it sooner
      | runners                                                     | tokens | runner |
      | e1 speed 0.5 unread 0; e2 speed 1.0 unread 500 running 7    | 2400   | e2     |
      | e1 speed 0.5 unread 0; e2 speed 1.0 unread 3000 running 7   | 2400   | e1     |
      | e1 speed 0.5 unread 0; e2 speed 1.0 unread 500 running 8    | 2400   | e1     |

    Examples: load counts for the time that it takes
      | runners                                                     | tokens | runner |
      | e1 speed 0.7 unread 0; e2 speed 1.7 unread 0                | 100    | e2     |
      | e1 speed 0.7 unread 0; e2 speed 1.7 unread 0 running 1      | 100    | e2     |
      | e1 speed 0.7 unread 0; e2 speed 1.7 unread 0 running 6      | 100    | e1     |
      | e1 speed 0.7 unread 400; e2 speed 1.7 unread 800            | 100    | e2     |
      | e1 speed 1.0 unread 400; e2 speed 1.0 unread 800            | 100    | e1     |

    Examples: so it does in the bound for cached prefixes
      | runners                                                        | tokens | runner |
      | e1 speed 0.5 unread 0 running 2 cached; e2 speed 2.0 running 3 | 10     | e2     |
      | e1 speed 2.0 unread 0 running 4 cached; e2 speed 0.5 running 1 | 10     | e1     |

    Examples: 1,024 tokens at speed 1.0 are reserved for an adapter that was just attached
      | runners                                | tokens | runner |
      | e1 speed 0.5 unread 1000 new adapter   | 600    | none   |
      | e1 speed 0.5 unread 1000 new adapter   | 500    | e1     |
      | e1 speed 2.0 unread 5000 new adapter   | 1100   | e1     |

  Scenario: a model on slow runners is not a slow model
    Given a node that measured 3 prompts of 2000 tokens for each of m and n, after an overhead of 40 ms
    When those of m took 240 ms at a runner of speed 0.5, and those of n 140 ms at one of speed 1.0
    Then a token of m is as much work as one of n

  Scenario Outline: a request that found no room returns once the soonest runner has read enough
    Given a node before runners of m: <runners>
    And a pace of <pace> tokens a second
    When a prompt of 3000 tokens arrives for m and waits in vain
    Then its retry-after time is <least> to 3 s, and its text <telling>

    Examples:
      | runners                                                   | pace | least | telling         |
      | e1 speed 1.0 unread 4000; e2 speed 1.0 unread 4000        | 800  | 1.0   | lacks the speed |
      | e1 speed 0.5 unread 2000; e2 speed 1.0 unread 4000        | 800  | 2.9   | has the speed   |
      | e1 speed 0.5 unread 2000; e2 speed 1.0 unread 4000        | 9000 | 1.0   | has the speed   |

  Scenario Outline: a line of an attempt has the endpoint's speed where speeds are in use
    When an attempt begins at an endpoint of speed 0.7 with endpoint speeds <use>
    Then its line <has> the speed

    Examples:
      | use        | has    |
      | in use     | has    |
      | not in use | lacks  |

  Scenario Outline: replicas move from slow to fast runners
    Given placement over <runners>
    When a plan is made for the demand <demand>
    Then its moves are <moves>

    Examples: a second replica
      | runners                                            | demand         | moves                    |
      | e1 1.0 m; e2 0.7 none; e3 1.7 none                 | m 5000         | load m e3                |
      | e1 1.0 m; e2 1.7 none; e3 0.7 none                 | m 5000         | load m e2                |
      | e1 1.0 m; e2 0.7 none; e3 1.7 none                 | m 12000        | load m e3, load m e2     |

    Examples: a first replica
      | runners                                            | demand         | moves                    |
      | e1 0.7 none; e2 1.7 none                           | m 1000         | load m e2                |
      | e1 1.7 none; e2 0.7 none                           | m 1000         | load m e1                |

    Examples: a replica gives way
      | runners                                            | demand         | moves                    |
      | e1 0.7 m; e2 1.7 m                                 | m 5000, big 900 | unload m e1             |
      | e1 1.7 m; e2 0.7 m                                 | m 5000, big 900 | unload m e2             |

  Scenario: runners are planned for rates in proportion to their speeds
    Given a lease holder with runners of speeds 0.7, 0.7 and 1.6
    When it plans for a demand of 20000 tokens a second
    Then the rates of its runners are 5600, 5600 and 12800 tokens a second

  Scenario Outline: an adapter is attached at the runner that is fast and holds few
    Given a lease holder whose runners hold m and adapters: <runners>
    When an adapter of m is requested
    Then it is attached at <runner>

    Examples: a runner has two adapter slots
      | runners                         | runner |
      | e1 0.7 none; e2 1.7 none        | e2     |
      | e1 0.7 none; e2 1.7 a1          | e1     |
      | e1 0.4 a1; e2 1.7 a2,a3         | e1     |
      | e1 0.7 a1; e2 1.7 a2            | e2     |
      | e1 1.0 none; e2 1.0 none        | e1     |
