Feature: An endpoint gets no more requests a second than its rate limit, from all nodes together

  # Guards against nodes that together exceed the rate limit which an endpoint announces: a model
  # runner that announced 1.4 requests a second in its answers got 14 in four seconds from nodes that
  # had forwarded such answers, where users tolerate 13. No node read the header. Reading it is not
  # enough, since a limit that each node keeps by itself does not bound the sum: 69 nodes that each
  # keep to the whole limit sent 55 requests in four seconds, and 69 that each keep to a fixed part
  # of it sent none.

  Scenario Outline: one of several endpoints with a model gets no more than its limit
    Given <nodes> nodes and 4 endpoints, one with a rate limit of <rate> requests a second
    When <asked> requests a second arrive at random nodes for <seconds> s
    Then in no 4 s it got more than users tolerate, from nodes that knew its limit
    And in no 4 s it got more than its limit, from all nodes
    And it got nine tenths of its limit
    And no request was refused

    Examples:
      | nodes | rate | asked | seconds |
      | 9     | 1.4  | 30    | 30      |
      | 9     | 0.2  | 30    | 120     |
      | 69    | 1.4  | 40    | 40      |
      | 69    | 6    | 120   | 30      |
      | 195   | 1.4  | 60    | 40      |

  Scenario Outline: requests beyond the limit of a model's only endpoint are refused at once, with a time to retry
    Given <nodes> nodes and 1 endpoints, one with a rate limit of <rate> requests a second
    When <asked> requests a second arrive at random nodes for 30 s
    Then in no 4 s it got more than its limit, from all nodes
    And it got nine tenths of its limit
    And each refusal came within 0.6 s, with a time to retry

    Examples:
      | nodes | rate | asked |
      | 9     | 6    | 20    |
      | 69    | 6    | 40    |
      | 69    | 30   | 90    |

  Scenario Outline: the limit holds while its owner fails, and permits are granted again soon
    Given <nodes> nodes and 2 endpoints, one with a rate limit of <rate> requests a second
    When 40 requests a second arrive at random nodes for 12 s
    And <trouble>
    And 40 requests a second arrive at random nodes for 14 s
    Then in no 4 s it got more than its limit with the bursts of <owners> owners
    And in the last 8 s it got at least <share> of its limit

    # The shares are nine tenths of the limit, less the share of the nodes that are lost or cut off,
    # and less the 2.5 s that a change of the owner may take if it falls into these seconds.
    Examples:
      | nodes | rate | trouble                                 | owners | share |
      | 9     | 3    | its owner is killed                     | 1      | 0.8   |
      | 9     | 3    | its owner freezes                       | 1      | 0.8   |
      | 9     | 3    | its owner freezes and resumes 3 s later | 1      | 0.8   |
      | 9     | 3    | its owner shuts down gracefully         | 1      | 0.8   |
      | 9     | 3    | its owner is cut off from the others    | 2      | 0.8   |
      | 9     | 3    | its owner restarts                      | 1      | 0.55  |
      | 9     | 3    | its owner can't reach the store         | 1      | 0.8   |
      | 69    | 3    | its owner is killed                     | 1      | 0.8   |
      | 69    | 3    | its owner freezes                       | 1      | 0.8   |
      | 69    | 3    | its owner freezes and resumes 3 s later | 1      | 0.8   |
      | 69    | 3    | its owner shuts down gracefully         | 1      | 0.8   |
      | 69    | 3    | its owner is cut off from the others    | 2      | 0.8   |
      | 69    | 3    | its owner restarts                      | 1      | 0.55  |
      | 69    | 3    | a third of the nodes is cut off         | 2      | 0.8   |
      | 69    | 3    | each relay is killed                    | 1      | 0.55  |
      | 69    | 3    | no node can reach the store             | 1      | 0.8   |
      | 195   | 3    | its owner is killed                     | 1      | 0.8   |
      | 195   | 3    | a third of the nodes is cut off         | 2      | 0.8   |
      | 195   | 3    | its owner freezes                       | 1      | 0.8   |
      | 195   | 3    | its owner is cut off from the others    | 2      | 0.8   |

  Scenario Outline: a node that was away learns the limit before it sends
    Given <nodes> nodes and 2 endpoints, one with a rate limit of 0.5 requests a second
    When 20 requests a second arrive at random nodes for 6 s
    And <node> <was>, and then receives all requests
    Then it sends no more than 0.5 requests a second there

    Examples:
      | nodes | node    | was                |
      | 9     | a leaf  | is started         |
      | 69    | a leaf  | is started         |
      | 69    | a relay | is started         |
      | 9     | a leaf  | freezes for 2 s    |
      | 69    | a leaf  | freezes for 2 s    |
      | 9     | a leaf  | is cut off for 2 s |
      | 69    | a relay | is cut off for 2 s |

  Scenario Outline: a limit applies until it is lifted, and to its incarnation alone
    Given a node, and an endpoint with start 5 and a rate limit of 2 requests a second
    When afterwards <event>
    Then its known limit is <limit>

    Examples: the limit of 2 was received at 0 s
      | event                                                                 | limit |
      | nothing else happens                                                  | 2     |
      | an answer to a request of 1 s, received at 2 s, has no limit          | none  |
      | an answer to a request of -1 s, received at 2 s, has no limit         | 2     |
      | an answer to a request of -1 s, received at 2 s, has limit 5          | 2     |
      | an answer to a request of -1 s, received at 2 s, has limit 1          | 1     |
      | an answer to a request of 1 s, received at 2 s, has limit 5           | 5     |
      | an answer to a request of 1 s, received at 2 s, has limit 1e9         | none  |
      | an answer to a request of 1 s, received at 2 s, has limit 0           | 0.1   |
      | an answer to a request of 1 s, received at 2 s, has a malformed limit | 2     |
      | an answer to an unknown request has no limit                          | 2     |
      | its report has no limit                                               | 2     |
      | its report has limit 1                                                | 1     |
      | its entry expires and is listed again                                 | 2     |
      | it restarts, with start 6                                             | none  |
      | it restarts, with the earlier start 4 confirmed                       | none  |
      | it restarts, and an answer of the previous process has limit 3        | none  |
      | its confirmed start 4 has limit 3, and a record of start 5 comes late | 3     |
      | another node's record at 0.5 s ends the limit                         | 2     |
      | another node's record at 3 s ends the limit                           | none  |
      | another node's record of an older version arrives                     | 2     |
      | another node's record of the same version has limit 4                 | 2     |
      | another node's record of the same version has limit 1                 | 1     |
      | it is not listed for 11 minutes                                       | none  |
      | it is listed for 11 minutes and sends no answer                       | 2     |

  Scenario: records of limits merge to the same state in any order
    Then 200 random sets of records merge to the same state in any order, received once or twice

  Scenario Outline: nothing is sent to the endpoint without a permit
    Given a node, and an endpoint with start 5 and a rate limit of 2 requests a second
    When this happens: <case>
    Then it got no request without a permit

    Examples:
      | case                                              |
      | a retry is due, and it is the only endpoint       |
      | a stream broke there and is to be resumed         |
      | its owner does not answer                         |
      | its owner's answer comes 0.3 s late               |
      | its owner's answer is to an earlier question      |
      | the caller disconnects before the owner's answer  |
      | the endpoint is in back-off when the permit comes |
      | it is ejected, and it is the only endpoint        |
      | a request was queued before the limit was known   |

  Scenario: a request waits for the only endpoint with its adapter, though another holds the model
    Given a node, and an endpoint with start 5 and a rate limit of 2 requests a second
    When another endpoint holds the model, and a request needs the first one's adapter
    Then its owner is asked for a permit, and the request may wait for it

  Scenario: queues that are no longer used are dropped
    Given 9 nodes and 2 endpoints, one with a rate limit of 1.4 requests a second
    When 10 requests a second arrive at random nodes for 6 s
    And no requests arrive for 70 s
    Then no node keeps a queue for the endpoint

  # Guards against a reply to an earlier question of a request that decides on a later one.
  Scenario Outline: a late reply to a request's first question does not decide on its next permit
    Given a node, and an endpoint with start 5 and a rate limit of 2 requests a second
    When its request was refused there and asks for a permit again, and a reply to its first question comes, <late>
    Then it waits for the second reply, and is sent with that

    Examples:
      | late    |
      | granted |
      | denied  |
      | to wait |

  Scenario: a permit with which nothing was sent is returned
    Given a node, and an endpoint with start 5 and a rate limit of 2 requests a second
    When its permit comes, and nothing can be sent
    Then the permit was returned as unsent, once

  Scenario Outline: a slot that does not count towards the limit is not used
    Given a node, and a plain service whose endpoint has a rate limit of 2 requests a second
    When its owner grants a slot that <counts>
    Then that endpoint gets <what>

    Examples:
      | counts                                 | what    |
      | counts towards the limit               | work    |
      | was granted before the limit was known | nothing |

  Scenario: waiting requests get permits by rank, and fairly between organisations
    Given the queue of an endpoint with a rate limit of 2 requests a second and no permits left
    When requests of ranks 2, 1, 0 and of a loud and a quiet organisation arrive at once
    Then they are admitted by rank, and the quiet organisation's between the loud one's

  Scenario: returned permits are granted again, and no more than those
    Then in 300 random sequences of permits taken and returned, what is sent keeps to the limit

  Scenario: a model whose only endpoint has a rate limit gets another replica
    Given a lease holder over runners, and the one with the model has a limit of 0.5 requests a second
    When 8 requests a second arrive for that model
    Then it is ordered at the other runner

  Scenario Outline: random runs of <nodes> nodes send no endpoint more than its limit
    Then <number> random runs of <nodes> nodes send no endpoint more than its limit

    Examples:
      | number | nodes |
      | 10     | 9     |
      | 4      | 27    |
