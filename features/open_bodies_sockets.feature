@relay
Feature: Bodies without a length that end with their connection, between sockets

  # Each endpoint here lives on unless a row ends it.
  Scenario Outline: a body that is run once is whole if it shows its end, or its close looks like it
    Given a relay node with two endpoints that do: <script>
    When a caller sends an unsafe request
    Then the status and body are <gets>
    And the endpoints ran it <runs> times

    Examples:
      | script                      | gets                    | runs |
      | open json                   | 200 {"answer": 1}       | 1    |
      | open half json              | 502                     | 1    |
      | open json of another type   | 200 {"answer": 1}       | 1    |
      | open digest                 | 200 answer              | 1    |
      | open half digest            | 502                     | 1    |
      | open json of another digest | 502                     | 1    |
      | open text of a coding       | 502                     | 1    |
      | open json of a coding       | 502                     | 1    |
      | open text                   | 200 answer              | 1    |
      | open nothing                | 502                     | 1    |
      | open 404                    | 404 absent              | 1    |
      | open 404 json               | 404 {"error": "absent"} | 1    |
      | open 500                    | 502                     | 1    |
      | reset after open text       | 502                     | 1    |
      | reset after open json       | 502                     | 1    |
      | reset after open digest     | 502                     | 1    |
      | end after open json         | 200 {"answer": 1}       | 1    |
      | end after open text         | 502                     | 1    |
      | end after open 404          | 502                     | 1    |

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
      | open half json, open half json                           | 502                     | 2    |
      | open text, open text                                     | 200 answer              | 2    |
      | open text, end after open text                           | 200 answer              | 2    |
      | end after open text, open text                           | 200 answer              | 2    |
      | open text, open half text                                | 502                     | 2    |
      | open half text, open text                                | 502                     | 2    |
      | open text, end after open half text                      | 200 answer              | 2    |
      | end after open half text, open text                      | 200 answer              | 2    |
      | end after open text, open half text                      | 502                     | 2    |
      | end after open text, end after open half text            | 502                     | 2    |
      | open nothing, open nothing                               | 502                     | 2    |
      | open nothing, open text                                  | 200 answer              | 2    |
      | open text, open nothing                                  | 200 answer              | 2    |
      | open text, open answer of status 201                     | 201 answer              | 2    |
      | open text, open text of another digest                   | 502                     | 2    |
      | open text of another digest, open text                   | 502                     | 2    |
      | open text of another digest, open text of another digest | 502                     | 2    |
      | open text, reset after open text                         | 200 answer              | 2    |
      | open text of a coding, answer                            | 200 answer to q1        | 2    |
      | open text of a coding, open text of a coding             | 502                     | 2    |
      | open text of a coding, open text                         | 200 answer              | 2    |
      | reset after open text, open text                         | 200 answer              | 2    |
      | reset after open text, end after open text               | 502                     | 2    |
      | open text, half                                          | 200 answer              | 2    |
      | open text, refuse                                        | 200 answer              | 1    |
      | open 404, open 404                                       | 404 absent              | 2    |
      | open 404 json                                            | 404 {"error": "absent"} | 1    |
      | open 500, open 500                                       | 500 failed              | 2    |
      | open 500, answer                                         | 200 answer to q1        | 2    |
      | fail, open text                                          | 200 answer              | 2    |
      | fail, end after open text                                | 500 failed              | 2    |
      | open text, fail                                          | 200 answer              | 2    |
      | end after open text, fail                                | 500 failed              | 2    |

  Scenario Outline: two runs at one endpoint that gives the same each time
    Given a relay node with one endpoint that does: <script>
    When a caller sends a safe request
    Then the status and body are <gets>
    And the endpoints ran it 2 times

    Examples:
      | script                         | gets             |
      | open text, open text           | 200 answer       |
      | open text, answer              | 200 answer to q1 |

  Scenario: a service that another run has shown to close bodies in their midst is believed no more
    Given a relay node with two endpoints that do: open half text, answer, open text
    When a caller sends a safe request
    And a caller sends an unsafe request
    Then the status and body are 502
    And the endpoints ran it 3 times

  Scenario Outline: a body is not told as whole that its endpoint closes together with a stream
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: open text as it stops, <beside>
    When it <closes> the body and the stream that it sends to two callers, and lives on
    Then the answer is unknown

    Examples:
      | beside                 | closes |
      | 3 unframed and no more | closes |
      | 3 and no more          | closes |
      | 3 unframed and no more | resets |

  Scenario Outline: a body is whole that ends beside a stream which goes on
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: open text as it stops, <beside>
    When it ends the body that it sends beside a stream
    Then the status and body are 200 answer

    Examples:
      | beside                 |
      | an event each 0.02 s   |
      | 3 unframed and no more |

  # An endpoint that closes all that it runs shows no work, so the last spare resends are for these.
  Scenario Outline: a body behind which its endpoint worked on is run again only on ample resends
    Given a relay node whose services have <resends> resends, with one endpoint with models that does: open text as it stops, <beside>, open text
    When it ends the body of a safe request that it sends beside a stream
    Then the status and body are 200 answer
    And the endpoints ran it <runs> times

    Examples:
      | resends | beside               | runs |
      | 2       | an event each 0.02 s | 2    |
      | 2       | 3 and no more        | 3    |
      | 4       | an event each 0.02 s | 3    |
      | 1       | 3 and no more        | 2    |

  # Many are given up right after their head, so an empty one needs more.
  Scenario Outline: an empty body is whole only where its endpoint works on behind it
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: open nothing as it stops, <beside>
    When it ends the body that it sends beside a stream
    Then its caller <gets>

    Examples:
      | beside               | gets                              |
      | an event each 0.02 s | gets its endpoint's empty answer  |
      | 3 and no more        | gets 502                          |

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

  Scenario Outline: a second run is drawn from the resend budget
    Given a relay node whose services have no resend budget, with two endpoints that do: <body>, <body>
    When a caller sends a safe request
    Then the status and body are <gets>
    And the endpoints ran it 1 times

    Examples:
      | body                | gets       |
      | open text           | 200 answer |
      | end after open text | 502        |

  # A coding other than chunks, or after them, ends with the connection (RFC 9112, section 6.3).
  Scenario Outline: endpoints that give such bodies are neither ejected nor suspected
    Given a relay node with one endpoint that does: <body>, <body>, <body>, <body>, <body>
    When a caller sends 6 unsafe requests one after another
    Then the statuses are <status> in the first 5 and then 200
    And its endpoint was never ejected
    And no crash is recorded
    And no broken request waits for the end of a process

    Examples:
      | body                  | status |
      | open text             | 200    |
      | open half json        | 502    |
      | open text of a coding | 502    |
      | open json of a coding | 502    |

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
