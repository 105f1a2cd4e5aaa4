@relay
Feature: Requests relayed between sockets, on the users' platform's protocol

  Scenario Outline: a caller gets one endpoint's complete answer, a cut stream or an error
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples: plain requests
      | kind   | script                    | answer              | runs |
      | unsafe | answer                    | whole               | 1    |
      | safe   | answer                    | whole               | 1    |
      | unsafe | fail                      | endpoint's 500      | 1    |
      | safe   | fail, answer              | whole               | 2    |
      | safe   | fail, fail                | endpoint's 500      | 2    |
      | unsafe | refuse                    | not run             | 0    |
      | safe   | refuse, answer            | whole               | 1    |
      | safe   | refuse, refuse            | not run             | 0    |
      | unsafe | refuse quietly            | endpoint's 503      | 1    |
      | unsafe | reset                     | unknown             | 1    |
      | unsafe | close                     | unknown             | 1    |
      | unsafe | half                      | unknown             | 1    |
      | unsafe | nonsense                  | unknown             | 1    |
      | safe   | reset, answer             | whole               | 2    |
      | safe   | close, answer             | whole               | 2    |
      | safe   | half, answer              | whole               | 2    |
      | safe   | reset, refuse             | unknown             | 1    |
      | safe   | close, refuse             | unknown             | 1    |
      | unsafe | foreign first             | whole               | 1    |
      | unsafe | unframed                  | whole               | 1    |
      | unsafe | end after unframed        | unknown             | 1    |
      | safe   | unframed, answer          | whole               | 2    |
      | safe   | unframed, unframed        | whole               | 2    |
      | unsafe | unframed reset            | unknown             | 1    |
      | unsafe | surplus                   | whole               | 1    |

    Examples: streams
      | kind      | script                       | answer            | runs |
      | stream    | stream                       | 5 events          | 1    |
      | stream    | break after 3                | 3 events, cut     | 1    |
      | stream    | tear the 4th                 | 3 events, cut     | 1    |
      | stream    | reset                        | unknown           | 1    |
      | stream    | close                        | unknown           | 1    |
      | stream    | reset after 3                | 3 events, cut     | 1    |
      | stream    | reset after 3 unframed       | 3 events, cut     | 1    |
      | resumable | break after 3, stream        | 5 events          | 2    |
      | resumable | tear the 4th, stream         | 5 events          | 2    |
      | resumable | reset, stream                | 5 events          | 2    |
      | resumable | close, stream                | 5 events          | 2    |
      | resumable | reset after 3, stream        | 5 events          | 2    |
      | resumable | reset after 3 unframed, stream | 5 events        | 2    |
      | resumable | break after 3, break after 3 | 3 events, cut     | 2    |

  Scenario Outline: the end of each request is logged once
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the log has one entry of its end, with the outcome <outcome>

    Examples:
      | kind   | script        | outcome         |
      | unsafe | answer        | answered        |
      | stream | break after 3 | refused-unknown |
      | unsafe | refuse        | refused-not_run |

  Scenario Outline: the end of a request is logged with the last part of its prompt that others share
    Given a relay node with one endpoint that does: <script>
    When a caller sends an unsafe request for llama/a1 whose prompt has the parts 5c:800,91bd:410,e4:250
    Then the log of its end has: route=r-unsafe, outcome=<outcome>, model=llama, adapter=llama/a1, part=91bd, <told>

    Examples:
      | script | outcome         | told                         |
      | answer | answered        | why="endpoint i0 gave 200"   |
      | refuse | refused-not_run | told 0.50 s of               |

  Scenario Outline: bytes that belong to no request are discarded
    Given a relay node with one endpoint that does: <script>
    When a caller sends 3 unsafe requests on one connection
    Then each answer belongs to its request

    Examples:
      | script                 |
      | surplus                |
      | foreign first, surplus |
      | surplus, surplus       |

  Scenario Outline: a request that was sent before the last one was answered is answered too
    Given a relay node with one endpoint that does: <script>
    When a caller sends 2 <kind> requests on one connection without waiting for answers
    Then each answer belongs to its request

    Examples:
      | kind   | script                   |
      | unsafe | answer late, answer late |
      | safe   | answer late, answer late |

  Scenario Outline: a request is forwarded unchanged
    Given a relay node with one endpoint that does: answer
    When a caller sends raw: <request>
    Then the endpoint got the line <line> and the body <body>

    Examples: \r\n stands for the end of a line, as in the bytes
      | request                                                                  | line                            | body |
      | GET /safe//a/../b?x=%2f&y HTTP/1.1                                       | GET /safe//a/../b?x=%2f&y HTTP/1.1 | -  |
      | PUT /safe/x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc                     | PUT /safe/x HTTP/1.1            | abc  |
      | POST /safe/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n | POST /safe/x HTTP/1.1 | abc |
      | POST /safe/x HTTP/1.1\r\nContent-Length: 0                               | POST /safe/x HTTP/1.1           | -    |

  Scenario Outline: malformed and unroutable requests are refused and reach no endpoint
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

  Scenario: a node without a configuration refuses requests as not run
    Given a relay node without a configuration
    When a caller sends a safe request
    Then the answer is not run

  Scenario: an endpoint gets the remaining deadline, the incarnation and the rank, and no other added header
    Given a relay node with one endpoint that does: answer
    When a caller who waits 500 ms sends a safe request
    Then the endpoint got a deadline between 400 and 600 ms
    And it got no other added header but the incarnation and the rank

  Scenario Outline: a request is answered as soon as its route's timeout has passed
    Given a relay node with one endpoint that does: hang
    When a caller sends a <kind> request
    Then the answer is unknown
    And it arrived after 0.9 to 1.4 s

    Examples:
      | kind   |
      | unsafe |
      | stream |

  Scenario: an exception in the node ends the request at once
    Given a relay node with one endpoint that does: answer
    When writing the request to the endpoint raises an exception
    And a caller sends a safe request
    Then the answer is unknown
    And it arrived after 0.0 to 0.9 s

  Scenario: the connection to the endpoint is closed when the caller leaves
    Given a relay node with one endpoint that does: hang
    When a caller sends a safe request and leaves after 0.1 s
    Then the endpoint's connection is closed within 0.4 s

  Scenario: a draining endpoint gets no new requests
    Given a relay node with two endpoints that do: answer
    When the first endpoint's entry changes to draining
    And a caller sends 6 unsafe requests on one connection
    Then the first endpoint got 0 of them

  Scenario: an entry that expired in an outage of the store is used for two seconds after it
    Given a relay node with one endpoint that does: answer
    When the store fails, the endpoint's entry expires, and the store recovers
    Then the endpoint is still used after 1.0 s
    And it is not used any more after 3.5 s

  Scenario Outline: the configuration in force is never replaced by an older version
    Given a relay node with one endpoint that does: answer
    When the operator writes versions <written> and another node sends <sent>
    Then version <after> is in force

    Examples:
      | written | sent  | after |
      | 5       | none  | 5     |
      | 5, 4    | none  | 5     |
      | 5       | 4     | 5     |
      | 5       | 9     | 9     |
      | 5, 7    | 6     | 7     |

  Scenario: a malformed configuration changes nothing
    Given a relay node with one endpoint that does: answer
    When the operator writes a malformed version 9
    And a caller sends a safe request
    Then the answer is whole

  Scenario: a planned stop cuts no stream, and the node is withdrawn from lookups at once
    Given a relay node with one endpoint that does: stream
    When it is asked to stop while a stream runs
    Then the stream ends complete with Connection: close
    And its lookups and readiness checks are answered with 503

  Scenario: changed settings are applied without a signal, and invalid ones change nothing
    Given a relay node with one endpoint that does: answer
    When its settings change
    Then the new retry terms are in force
    And invalid settings leave them unchanged

  Scenario: a node that finds an endpoint down reports it to the others
    Given a relay node with one endpoint that does: answer
    And a second node linked to it
    When the endpoint's process ends, and the first node sends it a request
    Then the answer is not run
    And the second node knows within 1 s that nothing listens there

  Scenario: a killed node that is restarted takes up its own lease at once
    Given a relay node with one endpoint that does: answer
    And it holds the lease and may give orders
    When it is killed and a node with its name and address starts
    Then the new node holds the lease within 2 s, in the next epoch, and may give orders

  Scenario: a node of the same name at another address waits for the lease
    Given a relay node with one endpoint that does: answer
    And it holds the lease and may give orders
    When it is killed and a node with its name at another address starts
    Then the new node does not hold the lease within 2 s

  Scenario Outline: requests are accepted or refused by their keys
    Given a relay node with an endpoint, and an organisation with the key key-a
    When a caller sends a safe request with <key>
    Then the status is <status>, and the endpoint saw <seen>

    Examples:
      | key     | status | seen          |
      | key-a   | 200    | org-a, no key |
      | key-x   | 401    | nothing       |
      | no key  | 401    | nothing       |

  Scenario: a request whose key is new waits for the configuration that has it, within its deadline
    Given a relay node with an endpoint, and an organisation with the key key-a
    When a caller who waits 900 ms sends a safe request with key-b, which the node learns 0.3 s later
    Then the status is 200, and the endpoint saw org-a, no key
    And the endpoint got a deadline between 300 and 750 ms

  Scenario: a revoked key gets 401 at once, and the new key is accepted
    Given a relay node with an endpoint, and an organisation with the key key-a
    When the key key-a is replaced by key-b, and a caller sends a safe request with key-a
    Then the status is 401, and the endpoint saw nothing

  Scenario: a node that is cut off from the store refuses requests with keys with 503
    Given a relay node with an endpoint, and an organisation with the key key-a
    When the store fails for 5 s and a caller sends a safe request with key-a
    Then the status is 503, and the endpoint saw nothing

  Scenario: a request that crashes its endpoints is refused after three crashes, between sockets
    Given a relay node with five endpoints that end when a body is sent to them
    When a caller sends that body every 0.4 s, 12 times, each time under another id
    Then 3 of the endpoints have ended, each within one request
    And the last answers are 503 with no time to come back
    And a request with another body is answered
    And the log names the verdict and the endpoints, and the count of verdicts is 1

  Scenario Outline: the notice about the endpoint in an answer's head is logged
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
