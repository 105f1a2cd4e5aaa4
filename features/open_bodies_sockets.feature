@relay
Feature: Bodies without a length that end with their connection, between sockets

  # A close is no proof: each endpoint here lives on unless a row ends it.
  Scenario Outline: a body that is run once is whole only if it shows its end
    Given a relay node with two endpoints that do: <script>
    When a caller sends an unsafe request
    Then the status and body are <gets>
    And the endpoints ran it <runs> times

    Examples:
      | script                      | gets                    | runs |
      | open json                   | 200 {"answer": 1}       | 1    |
      | open half json              | 502                     | 1    |
      | open json of another type   | 502                     | 1    |
      | open digest                 | 200 answer              | 1    |
      | open half digest            | 502                     | 1    |
      | open json of another digest | 502                     | 1    |
      | open text of a coding       | 502                     | 1    |
      | open json of a coding       | 502                     | 1    |
      | open text                   | 502                     | 1    |
      | open nothing                | 502                     | 1    |
      | open 404                    | 502                     | 1    |
      | open 404 json               | 404 {"error": "absent"} | 1    |
      | open 500                    | 502                     | 1    |
      | reset after open json       | 502                     | 1    |
      | reset after open digest     | 502                     | 1    |
      | end after open json         | 200 {"answer": 1}       | 1    |
      | end after open text         | 502                     | 1    |

  Scenario Outline: a body that may be run again is whole by a second run as well
    Given a relay node with two endpoints that do: <script>
    When a caller sends a safe request
    Then the status and body are <gets>
    And the endpoints ran it <runs> times

    Examples:
      | script                                                   | gets                    | runs |
      | open json                                                | 200 {"answer": 1}       | 1    |
      | open text, answer                                        | 200 answer to q1        | 2    |
      | open half text, open json                                | 200 {"answer": 1}       | 2    |
      | open text, open text                                     | 200 answer              | 2    |
      | open text, end after open text                           | 200 answer              | 2    |
      | end after open text, open text                           | 200 answer              | 2    |
      | open text, open half text                                | 502                     | 2    |
      | open half text, open text                                | 502                     | 2    |
      | open nothing, open nothing                               | 502                     | 2    |
      | open text, open answer of status 201                     | 502                     | 2    |
      | open text, open text of another digest                   | 502                     | 2    |
      | open text of another digest, open text                   | 502                     | 2    |
      | open text of another digest, open text of another digest | 502                     | 2    |
      | open text, reset after open text                         | 502                     | 2    |
      | open text of a coding, answer                            | 200 answer to q1        | 2    |
      | open text of a coding, open text of a coding             | 502                     | 2    |
      | open text of a coding, open text                         | 502                     | 2    |
      | reset after open text, open text                         | 502                     | 2    |
      | open text, half                                          | 502                     | 2    |
      | open 404, open 404                                       | 404 absent              | 2    |
      | open 404 json                                            | 404 {"error": "absent"} | 1    |
      | open 500, open 500                                       | 500 failed              | 2    |
      | open 500, answer                                         | 200 answer to q1        | 2    |
      | fail, open text                                          | 500 failed              | 2    |
      | open text, fail                                          | 500 failed              | 2    |

  Scenario Outline: two runs that one endpoint cuts at the same byte are not told as whole
    Given a relay node with one endpoint that does: <script>
    When a caller sends a safe request
    Then the status and body are <gets>
    And the endpoints ran it 2 times

    Examples:
      | script                         | gets             |
      | open half text, open half text | 502              |
      | open text, open text           | 502              |
      | open text, answer              | 200 answer to q1 |

  # The header of a transfer coding is this connection's own, so its caller could not read the body.
  Scenario Outline: a body in another transfer coding than chunks is not passed on
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>

    Examples:
      | kind      | script                                 | answer  |
      | unsafe    | answer in gzip and chunks              | unknown |
      | unsafe    | answer in gzip and chunks in two rows  | unknown |
      | stream    | answer in gzip and chunks              | unknown |
      | safe      | answer in gzip and chunks, answer      | whole   |
      | unsafe    | answer in identity and chunks          | whole   |

  Scenario: a refusal is read by its head, whatever shows its end
    Given a relay node with two endpoints that do: open refusal
    When a caller sends an unsafe request
    Then the answer is not run
    And the endpoints ran it 0 times

  Scenario: a second run is drawn from the resend budget
    Given a relay node whose services have no resend budget, with two endpoints that do: open text, open text
    When a caller sends a safe request
    Then the status and body are 502
    And the endpoints ran it 1 times

  # A coding other than chunks, or after them, ends with the connection (RFC 9112, section 6.3).
  Scenario Outline: endpoints that give such bodies are neither ejected nor suspected
    Given a relay node with one endpoint that does: <body>, <body>, <body>, <body>, <body>
    When a caller sends 6 unsafe requests one after another
    Then the statuses are 502 in the first 5 and then 200
    And its endpoint was never ejected
    And no crash is recorded
    And no broken request waits for the end of a process

    Examples:
      | body                  |
      | open text             |
      | open text of a coding |
      | open json of a coding |

  Scenario Outline: endpoints that fail otherwise are ejected, whatever ends their bodies
    Given a relay node with one endpoint that does: <body>, <body>, <body>
    When a caller sends 3 unsafe requests one after another
    Then its endpoint is ejected

    Examples:
      | body                              |
      | open 500                          |
      | open 500 of a coding              |
      | reset after open text             |
      | reset after open text of a coding |

  Scenario: an endpoint that ends with such a body is found to have ended
    Given a relay node with two endpoints that do: end after open text
    When a caller sends an unsafe request
    Then the status and body are 502
    And the request is recorded as running at an endpoint that crashed

  Scenario: an endpoint that ends with a body that shows its end is not found to have crashed by it
    Given a relay node with two endpoints that do: end after open json
    When a caller sends an unsafe request
    Then the status and body are 200 {"answer": 1}
    And no crash is recorded

  Scenario: the log tells what showed the end
    Given a relay node with two endpoints that do: open text, open text
    When a caller sends a safe request
    Then the log of its bodies has the signs none, equal
