@relay
Feature: Requests relayed between sockets, on the users' platform's protocol

  Scenario Outline: the answer is the endpoint's own, whole, or none
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples: plain requests
      | kind   | script                    | answer              | runs |
      | unsafe | answer                    | whole               | 1    |
      | safe   | answer                    | whole               | 1    |
      | unsafe | fail                      | their 500           | 1    |
      | safe   | fail, answer              | whole               | 2    |
      | safe   | fail, fail                | their 500           | 2    |
      | unsafe | refuse                    | not run             | 0    |
      | safe   | refuse, answer            | whole               | 1    |
      | safe   | refuse, refuse            | not run             | 0    |
      | unsafe | refuse quietly            | their 503           | 1    |
      | unsafe | reset                     | unknown             | 1    |
      | unsafe | close                     | unknown             | 1    |
      | unsafe | half                      | unknown             | 1    |
      | unsafe | nonsense                  | unknown             | 1    |
      | safe   | reset, answer             | whole               | 2    |
      | safe   | half, answer              | whole               | 2    |
      | safe   | reset, refuse             | unknown             | 1    |
      | unsafe | foreign first             | whole               | 1    |
      | unsafe | unframed                  | whole               | 1    |
      | unsafe | unframed reset            | unknown             | 1    |
      | unsafe | surplus                   | whole               | 1    |

    Examples: streams
      | kind      | script                       | answer            | runs |
      | stream    | stream                       | 5 events          | 1    |
      | stream    | break after 3                | 3 events, cut     | 1    |
      | stream    | tear the 4th                 | 3 events, cut     | 1    |
      | stream    | reset                        | unknown           | 1    |
      | resumable | break after 3, stream        | 5 events          | 2    |
      | resumable | tear the 4th, stream         | 5 events          | 2    |
      | resumable | reset, stream                | 5 events          | 2    |
      | resumable | break after 3, break after 3 | 3 events, cut     | 2    |

  Scenario Outline: each request ends once in the log
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the log says once that it ended: <outcome>

    Examples:
      | kind   | script        | outcome         |
      | unsafe | answer        | answered        |
      | stream | break after 3 | refused-unknown |
      | unsafe | refuse        | refused-not_run |

  Scenario Outline: bytes that belong to no request reach nobody
    Given a relay node with one endpoint that does: <script>
    When a caller sends 3 unsafe requests on one connection
    Then each answer is its own

    Examples:
      | script                 |
      | surplus                |
      | foreign first, surplus |
      | surplus, surplus       |

  Scenario Outline: a request goes on as it came
    Given a relay node with one endpoint that does: answer
    When a caller sends raw: <request>
    Then the endpoint got the line <line> and the body <body>

    Examples: \r\n stands for the end of a line, as in the bytes
      | request                                                                  | line                            | body |
      | GET /safe//a/../b?x=%2f&y HTTP/1.1                                       | GET /safe//a/../b?x=%2f&y HTTP/1.1 | -  |
      | PUT /safe/x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc                     | PUT /safe/x HTTP/1.1            | abc  |
      | POST /safe/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n | POST /safe/x HTTP/1.1 | abc |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 0                               | POST /safe/x HTTP/1.1           | -    |

  Scenario Outline: what cannot be read is refused and reaches no endpoint
    Given a relay node with one endpoint that does: answer
    When a caller sends raw: <request>
    Then the status is <status> and the endpoint got nothing

    Examples:
      | request                                                                              | status |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc            | 400    |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | POST /safe/x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n            | 400    |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 99999\r\n\r\nabc                             | 413    |
      | GET /safe/x HTTP/1.1\r\nBig: {9000 letters}                                           | 431    |
      | NONSENSE                                                                             | 400    |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc (and no more)                   | 408    |
      | GET /none/x HTTP/1.1                                                                 | 404    |

  Scenario: without a configuration nothing is missing
    Given a relay node that knows no configuration
    When a caller sends a safe request
    Then the answer is not run

  Scenario: an endpoint learns of what is left of the deadline, and of nothing else new
    Given a relay node with one endpoint that does: answer
    When a caller who waits 500 ms sends a safe request
    Then the endpoint was told a deadline between 300 and 500 ms
    And it got no header of ours but the deadline, the incarnation and the rank

  Scenario Outline: a request past its route's time gets its final answer at once
    Given a relay node with one endpoint that does: hang
    When a caller sends a <kind> request
    Then the answer is unknown
    And it came between 0.9 and 1.4 s

    Examples:
      | kind   |
      | unsafe |
      | stream |

  Scenario: a fault of ours ends a request rather than leaving it
    Given a relay node with one endpoint that does: answer
    When writing to the endpoint fails by a fault of ours
    And a caller sends a safe request
    Then the answer is unknown
    And it came between 0.0 and 0.9 s

  Scenario: a caller that leaves frees its endpoint
    Given a relay node with one endpoint that does: hang
    When a caller sends a safe request and leaves after 0.1 s
    Then the endpoint's connection is closed within 0.4 s

  Scenario: an endpoint that leaves gets nothing new
    Given a relay node with two endpoints that do: answer
    When the first endpoint's entry says draining
    And a caller sends 6 unsafe requests on one connection
    Then the first endpoint got 0 of them

  Scenario: a lapsed entry counts for two seconds after an outage of the store
    Given a relay node with one endpoint that does: answer
    When the store goes away, the endpoint's entry lapses, and the store comes back
    Then the endpoint is still used after 1.0 s
    And it is not used any more after 3.5 s

  Scenario Outline: configuration in force never goes back
    Given a relay node with one endpoint that does: answer
    When the operator writes versions <written> and another node gives <given>
    Then version <after> is in force

    Examples:
      | written | given | after |
      | 5       | none  | 5     |
      | 5, 4    | none  | 5     |
      | 5       | 4     | 5     |
      | 5       | 9     | 9     |
      | 5, 7    | 6     | 7     |

  Scenario: a configuration that cannot be read changes nothing
    Given a relay node with one endpoint that does: answer
    When the operator writes a malformed version 9
    And a caller sends a safe request
    Then the answer is whole

  Scenario: a planned stop cuts nothing and lets nobody new come
    Given a relay node with one endpoint that does: stream
    When it is asked to stop while a stream runs
    Then the stream ends whole with a hint to close
    And it is out of the addresses and not ready at once

  Scenario: a settings file that changes is taken with and without a signal
    Given a relay node with one endpoint that does: answer
    When its settings change
    Then the new retry terms are in force
    And wrong settings leave them as they are

  Scenario: what one node finds down, the others know
    Given a relay node with one endpoint that does: answer
    And a second node beside it
    When the endpoint's process ends, and the first node sends it a request
    Then the answer is not run
    And the second node knows within 1 s that nothing listens there

  Scenario: a node that was killed goes on with its own lease at once
    Given a relay node with one endpoint that does: answer
    And it has held the lease and given orders
    When it is killed and a node of its name and address starts
    Then that holds the lease within 2 s, in the next epoch, and may give orders

  Scenario: a node of its name at another address waits for the lease
    Given a relay node with one endpoint that does: answer
    And it has held the lease and given orders
    When it is killed and a node of its name at another address starts
    Then that does not hold the lease within 2 s

  Scenario Outline: requests go by their keys
    Given a relay node with an endpoint, and an organisation with the key key-a
    When a caller sends a safe request with <key>
    Then the status is <status>, and the endpoint saw <seen>

    Examples:
      | key     | status | seen       |
      | key-a   | 200    | org-a alone |
      | key-x   | 401    | nothing    |
      | no key  | 401    | nothing    |

  Scenario: a request whose key is new waits for the configuration that has it, within its deadline
    Given a relay node with an endpoint, and an organisation with the key key-a
    When a caller who waits 900 ms sends a safe request with key-b, of which the node hears 0.3 s later
    Then the status is 200, and the endpoint saw org-a alone
    And the endpoint was told a deadline between 200 and 650 ms

  Scenario: a key that is taken away gets 401 at once, and the ones that are left go on
    Given a relay node with an endpoint, and an organisation with the key key-a
    When the key key-a is replaced by key-b, and a caller sends a safe request with key-a
    Then the status is 401, and the endpoint saw nothing

  Scenario: a node that hears nothing refuses, and says so truthfully
    Given a relay node with an endpoint, and an organisation with the key key-a
    When the store goes away for 5 s and a caller sends a safe request with key-a
    Then the status is 503, and the endpoint saw nothing

  Scenario: between sockets, with servers that end
    Given a relay node with five endpoints that end when a body is sent to them
    When a caller sends that body every 0.4 s, 12 times, each time under another id
    Then 3 of the endpoints have ended, each within one request
    And the last answers are 503 with no time to come back
    And a request with another body is answered
    And the log names the verdict and the endpoints, and the count of verdicts is 1

  Scenario Outline: the log tells what an answer says of its endpoint
    Given a relay node with one endpoint that does: <script>
    When the endpoint's answers say <line>
    And a caller sends a <kind> request
    Then the log tells of the endpoint: <told>

    Examples:
      | kind   | script        | line                    | told                          |
      | unsafe | answer        | Server-Leaving: 1       | status=200 leaving=True       |
      | unsafe | fail          | Server-Leaving: 1       | status=500 leaving=True       |
      | unsafe | refuse        | Server-Leaving: 1       | status=503 leaving=True       |
      | stream | break after 3 | Server-Leaving: 1       | status=200 leaving=True       |
      | stream | stream        | Server-Leaving: 1       | status=200 leaving=True       |
      | unsafe | foreign first | Server-Leaving: 1       | status=200 leaving=True       |
      | unsafe | unframed      | Server-Leaving: 1       | status=200 leaving=True       |
      | unsafe | refuse        | Retry-After: 3          | status=503 rest_s=3           |
      | unsafe | refuse        | Retry-After: soon       | malformed="retry-after: soon" |
      | unsafe | answer        | Connection: close       | nothing                       |
      | unsafe | answer        | Retry-After: 3          | nothing                       |
