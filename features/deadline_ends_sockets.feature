@relay
Feature: Answers in chunks that an endpoint ends, cleanly, as the time that it was told is over

  Scenario Outline: an end that the deadline brought about is not told as the answer's own
    Given a relay node with two endpoints with models that do: <script>
    And the endpoints' clocks are <ahead> ms ahead
    When a caller who states <ms> ms sends a <kind> request
    Then the answer is <answer>

    Examples:
      | kind      | ms  | script                                     | ahead | answer        |
      | stream    | 300 | 3 until its deadline                       | 5     | 3 events, cut |
      | stream    | 300 | 3 until its deadline                       | 30    | 3 events, cut |
      | stream    | 300 | no event until its deadline                | 5     | unknown       |
      | resumable | 300 | 3 until its deadline                       | 5     | 3 events, cut |
      | resumable | 300 | break after 3, no event until its deadline | 5     | 3 events, cut |
      | unsafe    | 300 | half until its deadline                    | 5     | unknown       |
      | safe      | 300 | half until its deadline                    | 5     | unknown       |

  Scenario Outline: an end that the route's time limit brought about is not told as the answer's own
    Given a relay node with two endpoints with models that do: <script>
    And the endpoints' clocks are 5 ms ahead
    When a caller sends a <kind> request
    Then the answer is <answer>

    Examples:
      | kind      | script                  | answer        |
      | stream    | 3 until its deadline    | 3 events, cut |
      | resumable | 3 until its deadline    | 3 events, cut |
      | unsafe    | half until its deadline | unknown       |

  Scenario: a node that stands still across the deadline does not tell the end as the answer's own
    Given a relay node whose routes take up to 1 s, with an endpoint of its own loop that does: 3 until its deadline
    And the node stands still for 1.5 s from when a request reaches the endpoint
    When a caller sends a stream request
    Then no answer is told as whole

  Scenario: a stream that ends by itself shortly before its deadline is whole
    Given a relay node with two endpoints with models that do: stream
    When a caller who states 100 ms sends a stream request
    Then the answer is 5 events

  Scenario Outline: an end is taken for the answer's own only if it is read before the request's time is over
    When an answer in chunks ends <left> ms before its deadline
    Then what else may have ended it is <cause>

    Examples:
      | left | cause    |
      | 1    | nothing  |
      | 0    | deadline |
      | -1   | deadline |

  # Ended before it, a request would be sent again for which there is no time.
  Scenario: no attempt is ended before its deadline, though timers are rounded
    When 60 attempts that go on are ended at their deadlines
    Then none ended before its deadline, nor 500 ms after it

  Scenario: the log tells how much time an answer had left as it ended
    Given a relay node with two endpoints with models that do: stream
    When a caller sends a stream request
    Then the log of its end has: left_s=0.9, told_left_s=, leaving=False
