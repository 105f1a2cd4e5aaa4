@relay
Feature: A planned stop of a relay node answers what callers have sent

  Scenario Outline: the log says what a caller waits for when the grace time ends
    Given a relay node with a grace time of <grace> s, and an endpoint that does: hang
    When the node is stopped while it serves a <kind> request
    Then the log says that the answer to the request waits for <what>

    Examples:
      | grace | kind   | what     |
      | 1.2   | stream | endpoint |
      | 1.2   | unsafe | endpoint |

  Scenario Outline: a stop answers requests that wait before they are accepted
    Given a relay node that is being stopped, with an endpoint that does: answer
    When a caller's request waits for <what> as the node's time to serve ends
    Then its caller gets 503, not run, and the connection is closed
    And the stop took at most 1.5 s

    Examples:
      | what                      |
      | its key                   |
      | its organisation's owner  |
      | the rest of its own bytes |

  Scenario: a process that is stopped answers each request that it has read
    Given a relay node as a process, whose callers need keys
    When it is stopped while callers send requests with unknown keys
    Then no caller waited in vain for longer than 0.2 s
    And the process ended 1.0 s before its grace time did

  Scenario: a stop waits until callers have got the answers that were written
    Given a relay node that is being stopped, with an endpoint that does: answer at length
    When a caller reads the answer only after the node's time to serve has ended
    Then it gets the whole of the long answer

  Scenario: a caller that never reads does not hold up a stop beyond its grace time
    Given a relay node that is being stopped, with an endpoint that does: answer at length
    When a caller never reads its answer
    Then the stop took at most 3.6 s

  Scenario: callers whose answers have not begun get one when the grace time ends
    Given a relay node with a grace time of 1.5 s, and an endpoint that does: hang
    When 12 callers send safe requests and the node is stopped
    Then each request that reached the endpoint gets 502, and each other one 503, not run
    And the log says of each that reached it that its answer waits for endpoint
    And each attempt was cancelled before its caller was answered

  Scenario: a stream that has begun doesn't look complete when the grace time ends
    Given a relay node with a grace time of 1.5 s, and an endpoint that does: stall after 3
    When the node is stopped while it serves a stream request
    Then the answer is 3 events, cut
    And the log has one entry of its end, with the outcome refused-unknown

  Scenario Outline: a request whose serving code fails is answered at once
    Given a relay node with one endpoint that does: answer
    When <what> raises an exception for a caller's request
    Then the answer is unknown
    And it arrived after 0.0 to 0.5 s
    And the log names the request that failed

    Examples:
      | what                    |
      | reading its fields      |
      | the decision on it      |
