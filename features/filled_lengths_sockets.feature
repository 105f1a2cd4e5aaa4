@relay
Feature: Bodies with a length that are broken off, and filled by another answer, between sockets

  Scenario Outline: a body whose length another answer fills is not told as whole
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind   | script                                             | answer  | runs |
      | unsafe | another answer within the length of a body          | unknown | 1    |
      | unsafe | another answer in parts within the length of a body | unknown | 1    |
      | safe   | another answer within the length of a body, answer  | whole   | 2    |

  Scenario Outline: a body that quotes another answer is told as whole
    Given a relay node with two endpoints that do: a body that quotes an answer before <surplus>
    When a caller sends a unsafe request
    Then its caller gets the quoted answer whole

    Examples:
      | surplus          |
      | nothing          |
      | a surplus answer |

  Scenario Outline: a body is whole whatever follows it
    Given a relay node with two endpoints that do: a body before <surplus>
    When a caller sends a unsafe request
    Then the answer is whole

    Examples:
      | surplus          |
      | nothing          |
      | a surplus answer |
      | surplus bytes    |

  Scenario Outline: whether a body may hold the head of another answer
    When a body ends with <bytes>
    Then it <may> hold the head of another answer

    Examples:
      | bytes                 | may      |
      | answer                | does not |
      | answerHTTP/1.1 200 OK | may      |
      | answerHTTP/1.         | may      |
      | answerHTTP/1          | may      |
      | answerHTTP            | may      |
      | answerHTT             | does not |
      | http/1.1 200 OK       | does not |
      | HTTP/2 200            | does not |
