@relay
Feature: Ends by a close, between sockets: signs that come late, or that belong to something else

  Scenario Outline: a rest that is broken off within an event takes back that the stream looked whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 unframed, <rest>
    When a caller sends a resumable request
    Then the answer is 3 events, cut

    Examples:
      | rest                                      |
      | half an event unframed and a close        |
      | half an event unframed and a reset        |
      | half an event in a chunk and a reset      |
      | half an event in a chunk and a close      |
      | half a chunk of an event and a close      |

  Scenario Outline: the end of a sound answer is told while its caller bears the silence
    Given a relay node whose routes take up to 4 s, with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And it arrived after 0.0 to 2.0 s

    Examples:
      | kind      | script                       | answer   |
      | resumable | unframed events, say nothing | 5 events |
      | safe      | unframed, say nothing        | whole    |

  Scenario Outline: a stream is whole beside a third that went on behind it and has ended since
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: the last unframed as it stops, the last unframed as it stops, <third>
    When it ends the first of the streams that it sends to three callers
    Then the answer is <answer>

    Examples:
      | third                                          | answer        |
      | 3 and no more                                  | 5 events, cut |
      | an event each 0.02 s                           | 5 events      |
      | 3 and a keepable end 0.04 s after it stops     | 5 events      |
      | 3 and an announced close 0.04 s after it stops | 5 events      |

  Scenario: a kept connection that takes a new request has worked on for its last one
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: the last unframed as it stops, the last unframed as it stops, a body whose end comes 0.04 s after it stops, answer
    When it ends the first of two streams beside a body, whose connection takes another request
    Then the answer is 5 events

  Scenario: bytes that were sent before the close and are read late are no work behind it
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: an unframed event each 0.02 s, an unframed event each 0.02 s, much and no more
    When it closes the streams of two callers and of a third who reads on 0.04 s later
    Then it is cut

  Scenario Outline: a connection that is not read shows no life of its process
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: much and no more, <stream>
    When its process ends with a stream, beside one that its caller doesn't read
    Then it is cut

    Examples:
      | stream                          |
      | an unframed event each 0.02 s   |

  Scenario: an answer that was not read as its endpoint dropped its streams is cut
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: much unframed and no more, 3 and no more
    When it closes the streams of a caller who reads on 1 s later and of another
    Then the answer of the slow caller is cut

  Scenario: two broken calls are no sign of life
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: be gone behind a proxy after 3 unframed
    When a caller sends a stream request
    Then the answer is 3 events, cut

  Scenario: the process that is asked for is the one that gave the answer
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: 3 unframed and no more
    When its process ends with a stream, and another one that the node learns of meanwhile takes the listener over 0.2 s later
    Then the answer is 3 events, cut

  Scenario: a refusal for want of room tells no end of a service that was caught
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 backed up, stream
    And the endpoints copy their runs to each other, but the copy is gone as it is used
    And two streams ran there before
    And ends of their service have turned out to be cut
    When a caller sends a stream request
    Then the answer is 3 events, cut

  Scenario: two rests that are given up behind their heads tell nothing of the rest
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: unframed without events, unframed without events
    When a stream is taken up after its event 3
    Then the answer is unknown

  Scenario: a rest that is given up behind its head says nothing for a service that was caught
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 unframed, unframed without events
    And of the service's ends that had looked whole 3 cut are remembered
    When a caller sends a resumable request
    Then the answer is 3 events, cut

  Scenario: streams in chunks name no backup since bodies of their service end with their connection
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: unframed, stream, stream, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    When a caller sends an unsafe request
    And two streams ran there before
    And a caller sends a stream request
    Then the answer is 5 events
    And no request named a backup

  Scenario: a sound stream is whole as a request that has not begun is turned away and a third goes on
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: unframed events as it stops, an event each 0.02 s, be closed without an answer as it stops
    When it ends the first of three requests
    Then the answer is 5 events
