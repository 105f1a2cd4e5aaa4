@relay
Feature: Streams that end with their connection, without a length or chunks, between sockets

  # A close alone shows no end: an endpoint may close a connection in the midst of a run and live
  # on. On routes that may be resumed another run shows the end, and where none can be had, what is
  # seen of the endpoint tells.

  Scenario Outline: a stream that ends with its connection is whole by a further run, or by what is seen
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                           | answer        | runs |
      | stream    | unframed events                  | 5 events      | 1    |
      | stream    | unframed events, stream          | 5 events      | 1    |
      | resumable | unframed events, stream          | 5 events      | 2    |
      | resumable | unframed events, unframed stream | 5 events      | 2    |
      | resumable | 3 unframed, stream               | 5 events      | 2    |
      | resumable | 3 unframed, unframed stream      | 5 events, cut | 2    |
      | resumable | 3 unframed, stream anew          | 3 events, cut | 2    |
      | resumable | unframed events, stream anew     | 5 events, cut | 2    |
      | resumable | unframed without events, unframed without events | unknown | 2 |
      | resumable | unframed events, not found       | 5 events      | 2    |
      | resumable | unframed events, fail            | 5 events      | 2    |
      | resumable | unframed events, empty           | 5 events      | 2    |
      | resumable | unframed events, refuse          | 5 events      | 1    |
      | resumable | unframed events, unframed        | 5 events      | 2    |
      | resumable | unframed events, unframed reset  | 5 events      | 2    |
      | resumable | unframed events, close           | 5 events      | 2    |
      | resumable | end after unframed events, fail  | 5 events, cut | 2    |
      | resumable | unframed events, stream of no event | 5 events   | 2    |
      | stream    | stream of no event               | unknown       | 1    |
      | resumable | stream of no event, stream       | 5 events      | 2    |
      | resumable | stream of no event, stream of no event | unknown | 2    |

  Scenario: a single endpoint is asked for the rest itself
    Given a relay node with one endpoint that does: unframed events, stream
    When a caller sends a resumable request
    Then the answer is 5 events
    And the endpoints ran it 2 times

  Scenario Outline: a stream that may have no second attempt is whole by what is seen of its endpoint
    Given a relay node <bound>, whose two endpoints do: unframed events, stream
    When a caller sends a resumable request
    Then the answer is 5 events
    And the endpoints ran it 1 times

    Examples:
      | bound                         |
      | without a retry budget        |
      | whose routes give one attempt |

  Scenario Outline: a caller that takes its stream up gets the end that a further run shows
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a stream is taken up after its event <last>
    Then its caller gets <gets>
    And the endpoints ran it 2 times

    Examples:
      | last | script                           | gets            |
      | 3    | unframed stream, stream          | 2 events, whole |
      | 3    | unframed stream, unframed stream | 2 events, whole |
      | 5    | unframed stream, stream          | 0 events, whole |

  Scenario: a caller that has all events is told so by two empty rests
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: unframed stream, unframed stream
    When a stream is taken up after its event 5
    Then its caller gets 0 events, whole

  Scenario: empty rests of one endpoint that end with their connection show nothing
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: unframed stream, unframed stream
    When a stream is taken up after its event 5
    Then the answer is unknown

  Scenario Outline: a stream that another node serves ends as that node tells
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known
    When a <kind> request is sent to the first node, and the endpoints do: <script>
    Then its caller is given <gets>
    And nothing ran more than <runs> times

    Examples:
      | kind      | script                           | gets          | runs |
      | stream    | unframed events                  | 5 events      | 1    |
      | resumable | unframed events, stream          | 5 events      | 2    |
      | resumable | unframed events, unframed stream | 5 events      | 2    |

  # Answers that show no end don't speak against an endpoint, since they may be whole.
  Scenario Outline: an endpoint that gives streams without a length is not ejected for them
    Given a relay node with one endpoint that does: <script>
    When callers send <number> stream requests, one after another
    Then <failures> failures count against the endpoint, and it is <ejected>

    Examples:
      | script                                                                               | number | failures | ejected     |
      | unframed events, unframed events, unframed events, unframed events                   | 4      | 0        | not ejected |
      | 3 unframed, 3 unframed, 3 unframed, 3 unframed                                       | 4      | 0        | not ejected |
      | break after 3, break after 3, unframed events, break after 3                         | 4      | 1        | not ejected |
      | break after 3, break after 3, break after 3                                          | 3      | 3        | ejected     |
      | unframed without events, unframed without events, unframed without events            | 3      | 3        | ejected     |
      | comment unframed, comment unframed, comment unframed                                 | 3      | 3        | ejected     |
      | open 500, open 500, open 500                                                         | 3      | 3        | ejected     |

  Scenario Outline: a crash is recorded where nothing listens after the close
    Given a relay node with two endpoints with models that do: <script>
    When a caller sends a stream request
    Then the answer is <answer>
    And a crash is <recorded>, and the endpoint is <found>

    Examples:
      | script                | answer        | recorded     | found |
      | end after 3 unframed  | 3 events, cut | recorded     | down  |
      | unframed events       | 5 events      | not recorded | up    |

  Scenario: a caller does not wait beyond its time for whether the process has ended
    Given a relay node with one endpoint that does: 3 unframed
    And whether its process has ended takes 5 s to find out
    When a caller sends a stream request
    Then it arrived after 0.0 to 1.5 s

  Scenario: the log tells such an end by a reason of its own
    Given a relay node with one endpoint that does: unframed events, stream
    When a caller sends a resumable request
    Then the log of its failed attempt has: framing=close, open_ended=True, nothing shows the answer's end
