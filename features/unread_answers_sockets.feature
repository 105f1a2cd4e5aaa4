@relay
Feature: Answers without a length that stayed unread for a while, between sockets

  # An endpoint cuts off an answer that is not read for some seconds, and its process lives on.
  Scenario Outline: such an answer is whole or cut by what is seen, with a long silence or without
    Given a relay node whose routes take up to 8 s, with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                   | answer        | runs |
      | stream    | pause for 0.3 s after 3 unframed         | 5 events      | 1    |
      | stream    | end 1.5 s after 3 unframed               | 3 events, cut | 1    |
      | stream    | pause for 1.5 s after 3 unframed         | 5 events      | 1    |
      | resumable | end 1.5 s after 3 unframed, stream       | 5 events      | 2    |
      | resumable | be slow to begin 3 long unframed, stream | 5 events      | 2    |
      | stream    | be slow to begin unframed events         | 5 events      | 1    |

  Scenario: a run that begins slowly and is closed alone in its midst is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints that do: be slow to begin 3 long unframed
    When a caller sends a stream request
    Then the answer is 3 events, cut

  Scenario Outline: such an answer that came while the node stood still is whole or cut by what the kernel saw
    Given a relay node whose routes take up to 8 s, with an endpoint of its own loop that does: <script>
    And the node stands still for <still> s from when a request reaches the endpoint
    When a caller sends a stream request
    Then the answer is <answer>

    Examples:
      | script                           | still | answer        |
      | end 1.5 s after 3 unframed       | 2.2   | 3 events, cut |
      | end 1.5 s after 3 unframed       | 1.2   | 3 events, cut |
      | unframed events                  | 0.9   | 5 events      |
      | pause for 1.5 s after 3 unframed | 2.2   | 5 events      |
      | pause for 1.5 s after 3 unframed | 1.2   | 5 events      |

  Scenario: such an answer that ended long before the node went on is whole
    Given a relay node whose routes take up to 8 s, with an endpoint of its own loop that does: unframed events
    And the node stands still for 2.2 s from when a request reaches the endpoint
    When a caller sends a stream request
    Then the answer is 5 events

  Scenario Outline: the rest of such an answer is asked for where it may be resumed
    Given a relay node whose routes take up to 8 s, with an endpoint of its own loop that does: <script>, stream
    And the node stands still for 2.2 s from when a request reaches the endpoint
    When a caller sends a resumable request
    Then the answer is 5 events

    Examples:
      | script                     |
      | unframed events            |
      | end 1.5 s after 3 unframed |

  Scenario: a pause in which the node stood still is no pause of such an answer
    Given a relay node whose routes take up to 8 s, with an endpoint of its own loop that does: end 1.5 s after 4 unframed and a pause
    And the node stands still for 2.8 s from 0.3 s after a request reaches the endpoint
    When a caller sends a stream request
    Then the answer is 4 events, cut
