@relay
Feature: Requests handed over to another node, between sockets

  Background:
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known

  Scenario Outline: requests and answers pass unchanged
    When <request> is sent to the first node
    Then an endpoint got it once, as its caller sent it, with less time left and no header of ours
    And its caller got <answer>

    Examples:
      | request                          | answer                             |
      | a GET                            | the endpoint's whole answer        |
      | a HEAD                           | the endpoint's head                |
      | a POST with a body               | the endpoint's whole answer        |
      | a POST whose body comes in parts | the endpoint's whole answer        |
      | a stream                         | all events                         |
      | a POST that the endpoint fails   | the endpoint's own 500             |
      | a POST with a header of ours     | the endpoint's whole answer        |

  Scenario Outline: what a node refuses is refused where a request is handed over, too
    When <request> is sent to the first node
    Then it is refused with <status>, and no endpoint got it

    Examples:
      | request                              | status |
      | a GET of a path without a route      | 404    |
      | a GET without a request id           | 400    |
      | a GET that the other node can't send | 503    |

  # Guards against a refusal, which says that a request has not run, after an endpoint has run it.
  Scenario: a request that may have run before it was handed over is not told as refused
    When a GET runs as the first node loses all endpoints, and the other node can't send it
    Then within 0.9 s its caller got 502 with no stamp
    And it ran once

  Scenario: a caller who reads slowly holds up its own answer alone, in bounded memory
    When a caller of the first node reads nothing of a stream without end for 0.7 s
    Then at most 30 MB of it were taken from its endpoint
    And other callers' requests were answered within 0.5 s meanwhile

  Scenario: a caller that leaves ends its request at the endpoint
    When a caller of the first node leaves while its endpoint is at work
    Then within 0.5 s neither node counts it any more

  Scenario Outline: the other node is lost midway
    When <request> is handed over, and the other node is lost <when>, by a <how>
    Then within 1.2 s its caller got <answer>
    And nothing ran twice

    Examples:
      | when                          | how   | request            | answer              |
      | after a part of the answer    | close | a stream           | a broken stream     |
      | after a part of the answer    | reset | a stream           | a broken stream     |
      | before the answer             | close | a POST with a body | 502 with no stamp   |
      | before the answer             | reset | a POST with a body | 502 with no stamp   |
      | before it is connected to     | close | a POST with a body | 503 with no stamp   |

  # Guards against an answer to an earlier request that is taken for the next one's, where a node
  # gives up what it has handed over and keeps the connection.
  Scenario Outline: an answer that comes late at the other node is not that to the next request
    When <first> is handed over, <end>, and its answer comes once <next> was handed over
    Then its caller got <answer>
    And it belongs to the next request

    Examples:
      | first              | end              | next               | answer                      |
      | a GET              | its caller leaves | a GET              | the endpoint's whole answer |
      | a GET              | its time is over | a GET              | the endpoint's whole answer |
      | a POST with a body | its caller leaves | a POST with a body | the endpoint's whole answer |
      | a POST with a body | its time is over | a POST with a body | the endpoint's whole answer |
      | a GET              | its time is over | a stream           | all events                  |

  Scenario: a planned stop of either node cuts nothing
    When a stream is handed over, and both nodes are told to stop
    Then its caller got all events
