Feature: Answers that callers read slowly

  # Socket buffers of both sides hold some MB as well.
  Scenario: a caller that reads nothing makes the node hold a bounded part of the answer
    Given an endpoint whose answer has 64 MB, sent as fast as it is taken
    When the answer is not read for 1.0 s
    Then at most 20 MB were taken from the endpoint
    And read from then on, it is complete

  Scenario Outline: an endpoint that breaks off an answer that is not read is noticed when it is read
    Given an endpoint that <ends> the connection after 1 of 64 MB
    When the answer is not read for 1.0 s
    Then reading it ends with an error, not as complete

    Examples:
      | ends   |
      | resets |
      | closes |

  # After a second of silence the kernel's probes hide when the close came.
  Scenario Outline: an answer that stayed unread has stalled if its close came late
    Given an endpoint that closes the connection <waits> s after an answer of 200 KB
    When the answer is not read for <pause> s
    Then the answer <has> stalled before its close

    Examples:
      | waits | pause | has     |
      | 0     | 0.9   | has not |
      | 0     | 2.5   | has not |
      | 0.1   | 0.9   | has not |
      | 0.5   | 0.9   | has     |

  Scenario Outline: a connection whose answer has arrived whole can be used again
    Given a connection on which an answer of 100 KB has arrived at once
    When its caller goes after reading <parts> parts of it
    Then the connection is pooled, and the next answer on it arrives

    Examples:
      | parts |
      | 0     |
      | 1     |
