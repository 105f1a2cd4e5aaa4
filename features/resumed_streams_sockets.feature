@relay
Feature: Streams whose events go back, or whose rest is no stream, between sockets

  Scenario Outline: an event that does not follow the last one is never passed on
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                              | answer        | runs |
      | resumable | break after 3, stream               | 5 events      | 2    |
      | resumable | break after 3, stream anew          | 3 events, cut | 2    |
      | resumable | break after 3, stream without ids   | 3 events, cut | 2    |
      | stream    | go back after 3                     | 3 events, cut | 1    |
      | resumable | go back after 3, stream             | 5 events      | 2    |
      | stream    | stand still after 3                 | 3 events, cut | 1    |
      | resumable | stand still after 3, stream         | 5 events      | 2    |

  Scenario Outline: a whole answer is never written into a stream that has begun
    Given a relay node with two endpoints that do: <script>
    When a caller sends a resumable request
    Then the answer is 3 events, cut
    And the endpoints ran it 2 times

    Examples:
      | script                   |
      | break after 3, not found |
      | break after 3, moved     |
      | break after 3, empty     |
      | break after 3, answer    |
      | break after 3, fail      |

  Scenario: a caller that takes its stream up gets no event that it has
    Given a relay node with one endpoint that does: stream anew
    When a stream is taken up after its event 3
    Then the answer is unknown

  Scenario Outline: a stream whose events have no ids is not joined with another run of it
    Given a relay node with two endpoints that do: break after 2 without ids, <rest>
    When a caller sends a resumable request
    Then its caller gets 2 events, cut

    Examples:
      | rest               |
      | stream             |
      | stream of no event |

  Scenario Outline: no event comes twice since the last one that was passed on has no id
    Given a relay node with two endpoints that do: <script>
    When a caller sends a resumable request
    Then its caller gets <answer>
    And the endpoints ran it <runs> times

    Examples:
      | script                                       | answer        | runs |
      | break after 3 and one without an id, stream  | 4 events, cut | 1    |
      | break after 2 without ids, stream            | 2 events, cut | 1    |

  Scenario Outline: whether events follow does not depend on how their bytes are read
    Given a caller that has got 3
    When the bytes <bytes> come in <reads>
    Then they are <taken>

    Examples:
      | bytes                              | reads     | taken   |
      | data: a\n\n, id: 9\ndata: b\n\n   | one read  | refused |
      | data: a\n\n, id: 9\ndata: b\n\n   | two reads | refused |
      | : ping\n\n, id: 4\ndata: b\n\n    | one read  | taken   |
      | : ping\n\n, id: 4\ndata: b\n\n    | two reads | taken   |
      | id: 4\ndata: b\nid: 4\n\n, id: 5\n\n | one read  | taken   |
      | id: 4\r\n\r\n, id: 4\r\n\r\n      | two reads | refused |

  Scenario Outline: ids rise, and need not be consecutive
    Given a caller that has got <last>
    When the ids <ids> come
    Then they are <taken>

    Examples:
      | last  | ids        | taken   |
      | none  | 1 2 3      | taken   |
      | none  | 3 6 9      | taken   |
      | 9     | 10 11      | taken   |
      | 3     | 6 7        | taken   |
      | 10    | 9          | refused |
      | 9     | 9          | refused |
      | 09    | 10         | taken   |
      | none  | 8 9 10 100 | taken   |
      | none  | 1 3 2      | refused |
      | none  | none       | taken   |
      | 3     | none       | refused |
      | a9    | b0         | taken   |
      | b0    | a9         | refused |
