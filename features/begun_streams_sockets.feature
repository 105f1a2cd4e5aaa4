@relay
Feature: Streams that have begun and go on by way of another node, between sockets

  Scenario Outline: a stream goes on after the last event if the node that it was handed over to is lost
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known
    When a <kind> stream is handed over, and the other node is lost after event 3, by a <how>
    And the first node reaches endpoints again before that
    Then the bytes that its caller got are one head and the events 1 to <last>, each once
    And its stream <ends>

    Examples:
      | kind      | how   | last | ends       |
      | resumable | close | 5    | ends whole |
      | resumable | reset | 5    | ends whole |
      | stream    | close | 3    | is cut     |

  Scenario Outline: a stream that is handed over after it has begun has one head and each event once
    Given 2 linked nodes that share three endpoints, and callers at each
    When the first node loses its way to all endpoints in the midst of a resumable stream
    And the endpoints then <do>
    Then the bytes that its caller got are one head and the events 1 to <last>, each once
    And its stream <ends>

    Examples:
      | do                        | last | ends       |
      | go on after the third     | 5    | ends whole |
      | break off after the fifth | 5    | is cut     |
      | refuse it                 | 3    | is cut     |
      | fail it                   | 3    | is cut     |
      | do not find it            | 3    | is cut     |
      | answer it with nothing    | 3    | is cut     |
      | send it anew              | 3    | is cut     |
