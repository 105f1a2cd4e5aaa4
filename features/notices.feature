Feature: What an endpoint says of itself is known, kept and told

  # The story and the evidence stand in notices_sockets.feature. Here: who else learns of it, for how
  # long it holds, and which ways round it there are. Endpoints say it with an answer alone; the store
  # is away, or goes on telling that they stay.

  Scenario Outline: one that leaves gets nothing more, from whichever node
    Given <nodes> nodes that cannot reach the store, and an endpoint that leaves
    When its answer to one node says so
    Then that node sends it nothing from then on
    And no node sends it anything 0.5 s later, whoever is asked
    And what ran there ended well

    Examples:
      | nodes |
      | 8     |
      | 69    |
      | 195   |

  Scenario Outline: whoever was not there learns of it before it sends
    Given <nodes> nodes that cannot reach the store, and an endpoint that leaves
    When <node> <was> while its answer to another says so
    Then that node sends it nothing from then on

    Examples:
      | nodes | node    | was                                |
      | 8     | a leaf  | is started                         |
      | 69    | a leaf  | is started                         |
      | 69    | a relay | is started                         |
      | 8     | a leaf  | freezes                            |
      | 69    | a relay | freezes                            |
      | 69    | a leaf  | is cut off from the others         |
      | 69    | a relay | is cut off from the others         |
      | 69    | a leaf  | loses the node that it follows     |

  Scenario Outline: a node that nobody reaches heeds what it hears itself
    Given 8 nodes that cannot reach the store, and an endpoint that leaves
    When a node is cut off from all others, and its answer says so to that one
    Then that node sends it nothing from then on

  Scenario Outline: that one leaves holds for its life, whatever else is said of it
    Given a node, and an endpoint of start 5 that said with an answer that it leaves
    When afterwards: <then>
    Then the endpoint gets <what>

    Examples:
      | then                                                    | what    |
      | nothing else                                            | nothing |
      | its entry says that it stays                            | nothing |
      | its entry lapses and comes back, and says that it stays | nothing |
      | its entry comes back after 11 minutes without one       | work    |
      | its entry comes back with another address               | nothing |
      | its own report says that it stays                       | nothing |
      | another node's report says that it stays                | nothing |
      | another of its answers says nothing                     | nothing |
      | it starts again, with start 6                           | work    |
      | it starts again, with start 4, and is sure              | work    |
      | its list's row tells of start 4, late                   | nothing |
      | it starts again, and a node tells late that start 5 leaves | work |
      | it starts again, and a node tells that start 6 leaves   | nothing |
      | it starts again, and its last answer of before says so  | work    |

  Scenario Outline: whose word it is
    Given a node, and an endpoint of start 5
    When an answer to a request that was sent there tells <told>
    Then the endpoint gets <what>

    Examples:
      | told                                        | what    |
      | that it leaves                              | nothing |
      | that it leaves, by its own name             | nothing |
      | that it leaves, by another's name           | work    |
      | that another process has its address        | nothing |
      | nothing but Connection: close               | work    |
      | a value that can't be read                  | work    |
      | that it leaves, once its request was given up | nothing |

  Scenario Outline: rest is kept to its end
    Given a node, and an endpoint of start 5 that asked for <rest>
    When afterwards: <then>
    Then nothing is sent there for <seconds> s, and a first request after that

    Examples:
      | rest                   | then                                       | seconds |
      | 3 s of rest            | nothing else                               | 3       |
      | 0.5 s of rest          | nothing else                               | 0.5     |
      | 3 s of rest            | its entry lapses and comes back            | 3       |
      | 3 s of rest            | its own report says that it stays          | 3       |
      | 3 s of rest            | a longer rest of 5 s is asked for          | 5       |
      | 3 s of rest            | a shorter rest of 1 s is asked for         | 3       |
      | 3 s of rest            | a stream that it runs goes on              | 3       |
      | 3 s of rest            | the connection to it is refused once       | 3       |
      | 99999999 s of rest     | nothing else                               | 3600    |

  Scenario Outline: what is no rest
    Given a node, and an endpoint of start 5 that asked for <rest>
    When afterwards: <then>
    Then the endpoint gets work

    Examples:
      | rest                | then                          |
      | 0 s of rest         | nothing else                  |
      | 3 s of rest         | it starts again, with start 6 |

  Scenario Outline: rest is asked of one node; the others only prefer what did not shed
    Given <nodes> nodes, and two endpoints of their model, one of which turns one node away
    When that node was asked for 2 s of rest
    Then that node sends it nothing for 2 s
    And the other nodes go on to send to both, less to the one that shed

    Examples:
      | nodes |
      | 8     |
      | 69    |

  Scenario: what all nodes find out by turns is told by the first of them
    Given 69 nodes, and an endpoint that asks each for 2 s of rest
    When one request comes to each node within a second
    Then the others were told of it 4 times at most

  Scenario: after a rest one request goes first, and the others once it is answered
    Given a node, and an endpoint of start 5 that asked for 3 s of rest
    When 3.1 s later three requests come
    Then it has got 1 of them
    When that one is answered
    Then it has got 3 of them

  Scenario Outline: where all that hold the model rest, callers are told at once when the first is back
    Given a node, and endpoints of its model that asked for 4 s and 2 s of rest
    When 5 requests come that have <deadline> s
    Then each is refused at once as not run, to come back in <least> to <most> s, not all at one moment
    And nothing waits

    Examples: callers heed up to a third of the time that they have
      | deadline | least | most |
      | 15       | 2     | 3    |
      | 5        | 1.2   | 1.7  |

  Scenario: where one that holds the model does not rest, it gets the work
    Given a node, and endpoints of its model that asked for 4 s and no rest
    When 5 requests come that have 5 s
    Then the one that does not rest got 5

  Scenario: who waits when the last one asks for rest is told at once
    Given a node, and an endpoint of start 5 that is full
    When a request waits for it, and it asks for 3 s of rest
    Then each is refused at once as not run, to come back in 1.2 to 1.7 s, not all at one moment

  Scenario Outline: ways round it
    Given a node, and an endpoint of start 5
    When <way>
    Then it got no request since it said so

    Examples:
      | way                                                                        |
      | a slot there was given before it said that it leaves                       |
      | a slot there was given before it asked for 3 s of rest                     |
      | a second try is due, and it is the only one                                |
      | it is ejected, and it asked for 3 s of rest                                |
      | a stream broke off there and is to go on, and it said that it leaves       |
      | a stream broke off there and is to go on, and it asked for 3 s of rest     |

  Scenario Outline: the lease holder gives no order to one that <said>
    Given a lease holder over runners, one of which <said>
    When a model is asked for that stands nowhere
    Then it is ordered at the other runner

    Examples:
      | said                |
      | leaves              |
      | wants rest          |

  Scenario: the models of one that leaves are brought elsewhere while it drains
    Given a lease holder over runners, one of which leaves
    When the model that it holds is asked for
    Then it is ordered at the other runner

  Scenario Outline: drawn stories of <nodes> nodes send nothing that endpoints had said they don't want
    Then <number> drawn stories of <nodes> nodes send nothing that endpoints don't want

    Examples:
      | number | nodes |
      | 12     | 8     |
      | 4      | 27    |

  Scenario: words of lives merge to the same whatever their order
    Then 200 drawn words give the same lives that leave in any order, told once or twice

  Scenario: no endpoint can fill the table
    Then 12000 lives that leave leave 10000 remembered, the latest among them
