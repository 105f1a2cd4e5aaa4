@relay
Feature: Endpoints that send bytes without end

  # Guards against heads, parts of the framing and events that were read and kept until the caller's deadline.

  Scenario Outline: bytes without end that are no part of a body are given up
    Given a connection on which a request is in flight
    When its endpoint sends <what> without end, <size> KB at a time
    Then the connection is closed after 96 KB at most, and the request has failed as "<reason>"
    And at most 512 KB were kept

    Examples:
      | what                                | size | reason                           |
      | a status line                       | 1    | too many bytes that are no body  |
      | headers                             | 1    | too many bytes that are no body  |
      | small headers                       | 1    | not an answer                    |
      | one header                          | 1    | too many bytes that are no body  |
      | interim heads                       | 1    | too many bytes that are no body  |
      | the size of a chunk                 | 1    | too many bytes that are no body  |
      | the extension of a chunk            | 1    | too many bytes that are no body  |
      | trailers                            | 1    | too many bytes that are no body  |
      | the extension of each chunk         | 1    | too many bytes that are no body  |
      | what is no answer                   | 1    | not an answer                    |

  Scenario Outline: bytes without end that arrive in large reads are given up as soon
    Given a connection on which a request is in flight
    When its endpoint sends <what> without end, 256 KB at a time
    Then the connection is closed after 260 KB at most, and the request has failed as "<reason>"
    And at most 1024 KB were kept

    Examples:
      | what                     | reason                          |
      | headers                  | too many bytes that are no body |
      | one header               | too many bytes that are no body |
      | interim heads            | too many bytes that are no body |
      | the extension of a chunk | too many bytes that are no body |
      | trailers                 | too many bytes that are no body |

  Scenario: an answer to another request that never ends is given up
    Given a connection on which a request is in flight
    When its endpoint sends an answer to another request without end, 64 KB at a time
    Then the connection is closed after 17000 KB at most, and the request has failed as "too much of an answer to another request"
    And at most 1024 KB were kept

  Scenario Outline: a whole answer with much framing arrives
    Given a connection on which a request is in flight
    When its endpoint sends <what>, <size> KB at a time
    Then the answer is whole, with a body of <bytes> bytes

    Examples:
      | what                            | size | bytes   |
      | a head of 48 KB                 | 1    | 5       |
      | a head of 48 KB                 | 256  | 5       |
      | 40,000 chunks of a byte         | 1    | 40000   |
      | 40,000 chunks of a byte         | 256  | 40000   |
      | 500 chunks with long extensions | 64   | 500     |

  Scenario: an event that never ends is given up
    Given a stream of events
    When 2 KB at a time of one event arrive without end
    Then it is given up after 260 KB at most, in less than 0.5 s

  Scenario: long events arrive whole
    Given a stream of events
    When 3 events of 200 KB arrive, 2 KB at a time
    Then all 3 are passed on whole

  Scenario: whole answers that are held together are bounded, and the largest are given up
    Given 100 answers of 15 MB, beside 50 of 10 KB
    When a node reads them at the same time
    Then it held at most 66 MB of them at any time
    And the 50 short answers are whole
    And 90 of the others at least have failed as "too many bytes are held"

  Scenario Outline: an endpoint that answers without end is given up, and others serve what may be repeated
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times
    And it arrived after 0.0 to 0.9 s
    And the log has one failed attempt for each endpoint without end, as "<reason>"

    Examples:
      | kind      | script                         | answer        | runs | reason                          |
      | safe      | headers without end, answer    | whole         | 2    | too many bytes that are no body |
      | unsafe    | headers without end            | unknown       | 1    | too many bytes that are no body |
      | stream    | headers without end            | unknown       | 1    | too many bytes that are no body |
      | resumable | headers without end, stream    | 5 events      | 2    | too many bytes that are no body |
      | safe      | body without end, answer       | whole         | 2    | too large an answer             |
      | unsafe    | body without end               | unknown       | 1    | too large an answer             |
      | stream    | event without end              | 3 events, cut | 1    | too large an event              |
      | resumable | event without end, stream      | 5 events      | 2    | too large an event              |
      | safe      | extension without end, answer  | whole         | 2    | too many bytes that are no body |
      | safe      | interim heads without end, answer | whole      | 2    | too many bytes that are no body |

  Scenario: a report without end is given up
    Given a relay node with one endpoint that does: answer
    When the endpoint's report never ends and the node reads it
    Then the report has failed as "too large an answer" after 10 MB at most
    When a caller sends a safe request
    Then the answer is whole

  # Guards against a flood of many senders before which the answers of a busy one give way.
  Scenario Outline: short answers of one sender stay beside a flood of many
    Given 100 answers of 15 MB of 25 senders, beside 50 of <size> KB of another
    When a node reads them at the same time
    Then it held at most 66 MB of them at any time
    And 97 of 100 of the short answers are whole

    Examples:
      | size |
      | 64   |
      | 256  |
      | 512  |

  Scenario Outline: what is spared gives way last, as long as half of the bound is enough for it
    Given a bound of 1000 bytes, of which <spared> wait for callers and <other> come of endpoints, 100 each
    When <bytes> bytes come of an endpoint
    Then <left> of those that wait for callers are left

    Examples:
      | spared | other | bytes | left |
      | 500    | 500   | 100   | 500  |
      | 500    | 300   | 400   | 500  |
      | 700    | 300   | 100   | 600  |
      | 900    | 100   | 100   | 800  |

  Scenario Outline: the sender with the most gives way, by its largest part, whoever comes last
    Given a bound of 1000 bytes, and senders that hold: <held>
    When <bytes> bytes come of <sender>
    Then the senders hold: <left>

    Examples: by sender, the parts in bytes
      | held                      | sender | bytes | left                         |
      | a 500 400, b 50           | c      | 60    | a 400, b 50, c 60            |
      | a 500 400, b 50           | a      | 60    | a 400 60, b 50               |
      | a 300 300, b 390          | b      | 20    | a 300, b 390 20              |
      | a 300, b 390              | b      | 310   | a 300, b 390 310             |
      | a 300, b 390              | b      | 400   | a 300, b 390                 |
      | a 10 10, b 970            | c      | 20    | a 10 10, c 20                |
