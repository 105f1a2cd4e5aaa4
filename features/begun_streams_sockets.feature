@relay
Feature: Streams that have begun and go on by way of another node, between sockets

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
