@relay
Feature: Callers of an older protocol, and callers that close their sending side

  Scenario Outline: a caller that reads no chunks gets none
    Given a relay node with one endpoint that does: <script>
    When a caller sends a <kind> request in HTTP/1.0
    Then its answer has status <status> and an end shown by <end>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script | status | end    | runs |
      | safe      | answer | 200    | length | 1    |
      | unsafe    | answer | 200    | length | 1    |
      | unsafe    | half   | 502    | length | 1    |
      | stream    | stream | 426    | length | 0    |
      | resumable | stream | 426    | length | 0    |

  Scenario: the refusal names the protocol that is needed
    Given a relay node with one endpoint that does: stream
    When a caller sends a stream request in HTTP/1.0
    Then its answer asks for HTTP/1.1
    And the log says that its version was refused

  Scenario Outline: a caller that closes its sending side has left
    Given a relay node with one endpoint that does: hang
    When a caller sends a <kind> request and closes its sending side <when>
    Then it gets no byte, and its connection ends within 0.5 s
    And the endpoint's connection is closed within 0.5 s
    And the log has one entry of its end, with the outcome left

    Examples:
      | kind      | when        |
      | safe      | with it     |
      | unsafe    | with it     |
      | stream    | with it     |
      | safe      | as it runs  |
      | unsafe    | as it runs  |
      | resumable | as it runs  |
