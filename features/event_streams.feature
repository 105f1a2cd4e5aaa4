@relay
Feature: Streams of events are read as their standard says

  # Guards against comments that count as events, line ends and byte order marks that hide events or
  # their ids, and bytes that wait for others that never come.

  Scenario Outline: the events of a stream and their ids
    Given the bytes "<bytes>" of a stream
    Then they are <events> events that state the ids <ids>, cut at whichever bytes

    # "-" is an event that states no id.
    Examples:
      | bytes                                          | events | ids      |
      | id: 1\ndata: a\n\nid: 2\ndata: b\n\n           | 2      | 1, 2     |
      | : ping\n\nid: 1\ndata: a\n\n                   | 1      | 1        |
      | :\n:\n\n: ping\n\n                             | 0      | none     |
      | id: 1\n: ping\ndata: a\n\n                     | 1      | 1        |
      | id: 1\ndata: a\n\r\nid: 2\ndata: b\r\n\n       | 2      | 1, 2     |
      | id: 1\rdata: a\r\rid: 2\rdata: b\r\r           | 2      | 1, 2     |
      | id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata\r\n\r\n  | 2      | 1, 2     |
      | id: 1\ndata: a\r\r\ndata: b\n\r                | 2      | 1, -     |
      | MARKid: 1\ndata: a\n\nMARKid: 2\ndata: b\n\n   | 2      | 1, -     |
      | MARK: ping\n\nid: 1\ndata: a\n\n               | 1      | 1        |
      | data: a\n\n\n\ndata: b\n\n                     | 2      | -, -     |
      | id: 1\n\nretry: 9\n\nevent: b\n\ndata: c\n\n   | 1      | 1, -     |
      | id:1\ndata\n\nid:  2\ndata:\n\n                | 2      | 1, _2    |
      | id: 1 \ndata: a\n\n                            | 1      | 1_       |
      | id: 1\ndata: a\n\nid\ndata: b\n\nid:\n\n       | 2      | 1, empty, empty |
      | id: 1\nid: 2\0\ndata: a\n\n                    | 1      | 1        |
      | id: 1\nid: 2\ndata: a\n\n                      | 1      | 2        |
      | id 1\nidentity: 2\ndata: a\n\n                 | 1      | -        |
      | x-rookspring-weight-versions: 3\nid: 1\ndata: a\n\n | 1 | 1        |

  Scenario Outline: what has come is passed on as soon as the standard lets it be
    Given the bytes "<bytes>" of a stream
    Then each way to cut them gives what the standard says after each part

    Examples:
      | bytes               |
      | data\r\r\n:\n\r     |
      | :a\rid\r\n\r\n      |
      | \n\rid:1\n\n:\n     |
      | MARKid\n\n\r:\r     |

  # What is pending at the end is discarded by the standard, so a comment without a line end is one.
  Scenario Outline: a stream breaks off within an event, and not within a comment
    Given the bytes "<bytes>" of a stream
    Then they break off within <what>, cut at whichever bytes

    Examples:
      | bytes                    | what     |
      | data: a\n\n              | no event |
      | data: a\n\n: ping         | no event |
      | data: a\n\n:              | no event |
      | : ping                   | no event |
      | MARK: ping               | no event |
      | MARK                     | no event |
      | data: a\n\ndata: b        | an event |
      | data: a\n\ndata: b\n      | an event |
      | data: a\n\nid: 2\n: ping  | an event |
      | data: a\n\n: ping\nd      | an event |
      | data: a\n\nMARK: ping     | an event |

  Scenario: streams of any lines
    Then streams of any lines, ends and cuts give what the standard says after each part

  Scenario Outline: the rest of a stream has no byte order mark in its midst
    Given a splitter for the rest of a stream whose first events its caller has got
    When the bytes "<bytes>" come one at a time
    Then it passes on "<passed>", with the ids <ids>

    Examples:
      | bytes                            | passed                       | ids  |
      | MARKid: 4\ndata: a\n\n           | id: 4\ndata: a\n\n           | 4    |
      | MARK: ping\n\nid: 4\ndata: a\n\n | : ping\n\nid: 4\ndata: a\n\n | 4    |
      | id: 4\ndata: a\n\nMARK\n\n       | id: 4\ndata: a\n\nMARK\n\n   | 4    |

  # Without chunks nothing but its head tells another answer from the line that was broken off.
  Scenario Outline: another answer within a line is told from a quotation by its head
    Given the bytes "<bytes>" of a stream
    Then a splitter of streams without chunks passes on "<passed>" and finds <what>, cut anywhere

    Examples:
      | bytes                                                                 | passed                  | what           |
      | id: 1\n\ndata: aHTTP/1.1 200 OK\r\nX-Id: q\r\n\r\ndata: b\n\n           | id: 1\n\n               | another answer |
      | id: 1\n\n: piHTTP/1.1 200 OK\r\nDate: now\r\n\r\n                      | id: 1\n\n               | another answer |
      | id: 1\n\ndata: aHTTP/1.1 503\r\nx-id: q\r\n\r\n                        | id: 1\n\n               | another answer |
      | id: 1\n\ndata: aHTTP/1.0 200 OK\nDate: now\n\n                         | id: 1\n\n               | another answer |
      | id: 1\r\n\r\ndata: aHTTP/1.1 200 OK\r\nX-Id: q\r\n\r\n                 | id: 1\r\n\r\n           | another answer |
      | id: 1\n\ndata: aHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n       | id: 1\n\n               | another answer |
      | id: 1\n\ndata: aHTTP/1.1 200 OK\r\nid: q\r\nX-Id: q\r\n\r\n            | id: 1\n\n               | another answer |
      | id: 1\n\nHTTP/1.1 2                                                   | id: 1\n\n               | no other       |
      | data: HTTP/1.1 200 OK\n\ndata: b\n\n                                  | all of them             | no other       |
      | data: HTTP/1.1 200 OK\r\n\r\nid: 2\r\ndata: b\r\n\r\n                 | all of them             | no other       |
      | data: HTTP/1.1 200 OK\ndata: Date: now\n: ping\nid: 2\n\n              | all of them             | no other       |
      | data: HTTP/1.1 200 OK\nno header\n\n                                  | all of them             | no other       |
      | : HTTP/1.1 200 OK\n\nx-id: q\ndata: b\n\n                            | all of them             | no other       |
      | data: HTTP/1.1 2000 OK\nX-Id: q\n\n                                   | all of them             | no other       |
      | data: HTTP/1.1\nX-Id: q\n\n                                          | all of them             | no other       |

  Scenario Outline: an event of many small parts takes time in proportion to its bytes
    When an event of 200 KB of <lines> comes 1 bytes at a time
    Then it takes less than 2 s of processor time

    Examples:
      | lines       |
      | one line    |
      | short lines |
      | comments    |

  Scenario Outline: events reach the caller whatever ends their lines
    Given a relay node with two endpoints that do: <script>
    When a caller reads a <kind> stream
    Then by the standard it has got the events 1 to <last>, each once, and the stream <ends>

    Examples:
      | kind      | script                                           | last | ends   |
      | stream    | events with carriage returns                     | 5    | ends   |
      | stream    | events with mixed line ends                      | 5    | ends   |
      | stream    | events after a mark                              | 5    | ends   |
      | stream    | 3 with carriage returns                          | 3    | is cut |
      | stream    | events and half a comment                        | 5    | ends   |
      | stream    | events and half an event                         | 5    | is cut |
      | resumable | 3 with keep-alives, events and half a comment    | 5    | ends   |
      | resumable | 3 with carriage returns, stream                  | 5    | ends   |
      | resumable | 3 with mixed line ends, events after a mark      | 5    | ends   |
      | resumable | 3 after a mark, events after a mark              | 5    | ends   |
      | resumable | 3 with keep-alives, events with keep-alives      | 5    | ends   |
      | resumable | 3 after a mark, events with carriage returns     | 5    | ends   |
      | resumable | keep-alives alone, stream                        | 5    | ends   |
      | resumable | keep-alives alone, keep-alives alone             | 0    | is cut |

  Scenario: a comment without a line end that ends a stream is passed on
    Given a relay node with two endpoints that do: events and half a comment
    When a caller reads a stream stream
    Then the last bytes that it has got are ": pi"

  Scenario: a stream whose last event resets the id is not joined with another run of it
    Given a relay node with two endpoints that do: 2 that reset the id, stream
    When a caller reads a resumable stream
    Then it has got "id: 1\ndata: token\n\nid\ndata: token\n\n" and the stream is cut

  Scenario Outline: a comment is passed on as it comes, and is no event
    Given a relay node with two endpoints that do: <script>
    And what the node's attempts report is recorded
    When a caller reads a <kind> stream
    Then its log has <events> events, the first of them <first>
    And its attempts have reported <events> events, and never none

    Examples:
      | kind      | script                                      | events | first       |
      | stream    | events with keep-alives                     | 5      | after 0.3 s |
      | stream    | keep-alives alone                           | 0      | never       |
      | resumable | 3 with keep-alives, events with keep-alives | 5      | after 0.3 s |

  Scenario: a comment before the first event does not wait for it
    Given a relay node with two endpoints that do: events with keep-alives
    When a caller reads a stream stream
    Then it has got a comment 0.25 s before its first event

  Scenario Outline: a stream that another node passes on is counted as one that this node reads
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known
    And the endpoints then all do: <script>
    When a caller of the first node reads a stream
    Then by the standard it has got the events 1 to <last>, each once, and the stream <ends>
    And the first node's log has <last> events, the first of them <first>

    Examples:
      | script                      | last | ends   | first       |
      | events with keep-alives     | 5    | ends   | after 0.3 s |
      | events with mixed line ends | 5    | ends   | after 0 s   |
      | keep-alives alone           | 0    | is cut | never       |

  Scenario Outline: a stream that goes on by way of another node has no byte order mark in its midst
    Given 2 linked nodes that share three endpoints, and callers at each
    When the first node loses its way to all endpoints in the midst of a resumable stream
    And the endpoints then <do>
    Then the bytes that its caller got are one head and the events 1 to 5, each once
    And by the standard no event of them is hidden
    And its stream ends whole

    Examples:
      | do                        |
      | send the rest after a mark |

  Scenario Outline: a stream of which only comments have come is handed over as one that begins
    Given a resumable request to hand over, whose caller has got the head and <events> events
    Then the other node is told that its stream <state>

    Examples:
      | events | state      |
      | 0      | begins     |
      | 1      | has begun  |
