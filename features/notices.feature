Feature: Endpoints' notices in responses are applied, kept and shared

  # notices_sockets.feature describes the failure and its evidence. These scenarios cover which other
  # nodes learn of a notice, for how long it holds, and which code paths might bypass it. Endpoints
  # give their notices in responses only: the store can't be reached, or their entries stay live.

  Scenario Outline: a leaving endpoint gets no more requests from any node
    Given <nodes> nodes that cannot reach the store, and a leaving endpoint
    When its response to one node announces it
    Then that node sends it nothing from then on
    And no node sends it anything 0.5 s later, whichever node gets the requests
    And the requests that ran there succeeded

    Examples:
      | nodes |
      | 8     |
      | 69    |
      | 195   |

  Scenario Outline: a node that missed the notice learns of it before it sends
    Given <nodes> nodes that cannot reach the store, and a leaving endpoint
    When <node> <was> while its response to another announces it
    Then that node sends it nothing from then on

    Examples:
      | nodes | node    | was                            |
      | 8     | a leaf  | is started                     |
      | 69    | a leaf  | is started                     |
      | 69    | a relay | is started                     |
      | 8     | a leaf  | freezes                        |
      | 69    | a relay | freezes                        |
      | 69    | a leaf  | is cut off from the others     |
      | 69    | a relay | is cut off from the others     |
      | 69    | a leaf  | loses the node that it follows |

  Scenario Outline: a node that is cut off from all others applies the notices that it gets itself
    Given 8 nodes that cannot reach the store, and a leaving endpoint
    When a node is cut off from all others, and gets the response that announces it
    Then that node sends it nothing from then on

  Scenario Outline: leaving holds until the process ends, whatever other messages state
    Given a node, and an endpoint of start 5 that announced in a response that it is leaving
    When afterwards: <then>
    Then the endpoint gets <what>

    Examples:
      | then                                                     | what    |
      | nothing else                                             | nothing |
      | its entry states that it is live                         | nothing |
      | its entry lapses and is written again, as live           | nothing |
      | its entry is written again after 11 minutes without one  | work    |
      | its entry is written again with another address          | nothing |
      | its own report states that it is live                    | nothing |
      | another node's report states that it is live             | nothing |
      | another of its responses has no notice                   | nothing |
      | it restarts, with start 6                                | work    |
      | it restarts, with start 4, which is verified             | work    |
      | a late row of the list has start 4                       | nothing |
      | it restarts, and a late message has start 5 as leaving   | work    |
      | it restarts, and a node's message has start 6 as leaving | nothing |
      | it restarts, and a late response of start 5 announces it | work    |

  Scenario Outline: a notice applies to the process that gives it
    Given a node, and an endpoint of start 5
    When a response to a request that was sent there states <stated>
    Then the endpoint gets <what>

    Examples:
      | stated                                            | what    |
      | that it is leaving                                | nothing |
      | that it is leaving, under its own name            | nothing |
      | that it is leaving, under another's name          | work    |
      | that another process has its address              | nothing |
      | nothing but Connection: close                     | work    |
      | a value that can't be parsed                      | work    |
      | that it is leaving, once its request was given up | nothing |

  Scenario Outline: a back-off holds until its end
    Given a node, and an endpoint of start 5 that requested <backoff>
    When afterwards: <then>
    Then nothing is sent there for <seconds> s, and a first request after that

    Examples:
      | backoff                  | then                                  | seconds |
      | a back-off of 3 s        | nothing else                          | 3       |
      | a back-off of 0.5 s      | nothing else                          | 0.5     |
      | a back-off of 3 s        | its entry lapses and is written again | 3       |
      | a back-off of 3 s        | its own report states that it is live | 3       |
      | a back-off of 3 s        | it requests a longer back-off of 5 s  | 5       |
      | a back-off of 3 s        | it requests a shorter back-off of 1 s | 3       |
      | a back-off of 3 s        | a stream that it runs makes progress  | 3       |
      | a back-off of 3 s        | the connection to it is refused once  | 3       |
      | a back-off of 99999999 s | nothing else                          | 3600    |

  Scenario Outline: a back-off of no time, or of an earlier process, does not hold
    Given a node, and an endpoint of start 5 that requested <backoff>
    When afterwards: <then>
    Then the endpoint gets work

    Examples:
      | backoff           | then                      |
      | a back-off of 0 s | nothing else              |
      | a back-off of 3 s | it restarts, with start 6 |

  Scenario Outline: a back-off binds one node; the others only prefer endpoints that shed no load
    Given <nodes> nodes, and two endpoints of their model, one of which refuses one node's requests
    When that node was given a back-off of 2 s
    Then that node sends it nothing for 2 s
    And the other nodes still send to both, less to the one that shed load

    Examples:
      | nodes |
      | 8     |
      | 69    |

  Scenario: where an endpoint refuses all nodes in turn, only the first few tell the others
    Given 69 nodes, and an endpoint that gives each a back-off of 2 s
    When one request comes to each node within a second
    Then the others were told of it 4 times at most

  Scenario: after a back-off one request is sent as a probe, and the others once it is answered
    Given a node, and an endpoint of start 5 that requested a back-off of 3 s
    When 3.1 s later three requests come
    Then it has got 1 of them
    When that one is answered
    Then it has got 3 of them

  Scenario Outline: with all endpoints of a model in back-off, callers are told at once when to retry
    Given a node, and endpoints of its model with back-offs of 4 s and 2 s
    When 5 requests come with deadlines of <deadline> s
    Then each is refused at once as not run, to be retried in <least> to <most> s, not all at one moment
    And no request waits

    Examples: callers obey a retry time of up to a third of their deadline
      | deadline | least | most |
      | 15       | 2     | 3    |
      | 5        | 1.2   | 1.7  |

  Scenario: an endpoint of the model without a back-off gets the requests
    Given a node, and endpoints of its model with a back-off of 4 s and none
    When 5 requests come with deadlines of 5 s
    Then the one without a back-off got 5

  Scenario: a waiting request is refused at once when the last endpoint requests a back-off
    Given a node, and an endpoint of start 5 that is full
    When a request waits for it, and it requests a back-off of 3 s
    Then each is refused at once as not run, to be retried in 1.2 to 1.7 s, not all at one moment

  Scenario Outline: code paths that might bypass a notice
    Given a node, and an endpoint of start 5
    When <way>
    Then it got no request after its notice

    Examples:
      | way                                                                               |
      | a slot there was granted before it announced that it leaves                       |
      | a slot there was granted before it requested a back-off of 3 s                    |
      | a second attempt is due, and it is the only endpoint                              |
      | it is ejected, and it requested a back-off of 3 s                                 |
      | a stream broke off there and is to be resumed, and it announced that it leaves    |
      | a stream broke off there and is to be resumed, and it requested a back-off of 3 s |

  Scenario Outline: the lease holder gives no order to a runner that <said>
    Given a lease holder over runners, one of which <said>
    When a model is requested that is resident nowhere
    Then it is ordered at the other runner

    Examples:
      | said                |
      | leaves              |
      | requests a back-off |

  Scenario: the models of a leaving runner are loaded elsewhere while it drains
    Given a lease holder over runners, one of which leaves
    When the model that it holds is requested
    Then it is ordered at the other runner

  Scenario Outline: random fault sequences with <nodes> nodes send nothing against a notice
    Then <number> random fault sequences with <nodes> nodes send nothing against a notice

    Examples:
      | number | nodes |
      | 12     | 8     |
      | 4      | 27    |

  Scenario: leaving processes merge to the same state in any order
    Then 200 random sets of rows give the same leaving processes in any order, merged once or twice

  Scenario: no endpoint can fill the table
    Then of 12000 leaving processes 10000 are kept, the latest among them
