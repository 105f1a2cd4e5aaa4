@relay
Feature: Answers without length or chunks, which end with their connection, between sockets

  Scenario Outline: such an answer is cut where its process ends with it, or where nothing shows its end
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                          | answer        | runs |
      | resumable | end after 3 unframed, stream    | 5 events      | 2    |
      | stream    | end after 3 unframed            | 3 events, cut | 1    |
      | unsafe    | unframed                        | whole         | 1    |
      | unsafe    | end after unframed              | unknown       | 1    |
      | safe      | end after unframed, answer      | whole         | 2    |
      | unsafe    | half close after unframed       | whole         | 1    |

  Scenario Outline: what follows a stream without a length on its connection is no part of it
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And no byte of another answer is in it
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                               | answer        | runs |
      | stream    | unframed events and another answer of events         | 5 events, cut | 1    |
      | stream    | unframed events and another answer of text           | 5 events, cut | 1    |
      | resumable | unframed events and another answer of events, stream | 5 events      | 2    |
      | resumable | unframed events and another answer of text, stream   | 5 events      | 2    |
      | stream    | no unframed event and another answer of events       | unknown       | 1    |
      | resumable | no unframed event and another answer of events, stream | 5 events    | 2    |

  Scenario Outline: what stands behind a stream that broke off within a line is no part of it
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And no byte of another answer is in it
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                                         | answer        | runs |
      | stream    | 3 unframed and half a line before another answer               | 3 events, cut | 1    |
      | stream    | 3 unframed and half a name before another answer               | 3 events, cut | 1    |
      | stream    | 3 unframed and half a first line before another answer         | 3 events, cut | 1    |
      | stream    | 3 unframed and half a comment before another answer            | 3 events, cut | 1    |
      | stream    | 3 unframed and half a mark before another answer               | 3 events, cut | 1    |
      | stream    | 3 unframed and half a line before an interim answer            | 3 events, cut | 1    |
      | stream    | 3 unframed and half a line before half a status line           | 3 events, cut | 1    |
      | resumable | 3 unframed and half a line before another answer, stream       | 5 events      | 2    |
      | resumable | 3 unframed and half a first line before another answer, stream | 5 events      | 2    |
      | stream    | 3 in chunks and half a line before another answer              | 3 events, cut | 1    |
      | stream    | 3 in chunks and half a name before another answer              | 3 events, cut | 1    |
      | stream    | 3 in chunks and half a comment before another answer           | 3 events, cut | 1    |
      | stream    | 3 in chunks and half a line before an interim answer           | 3 events, cut | 1    |
      | stream    | 3 with a length and half a line before another answer          | 3 events, cut | 1    |
      | resumable | 3 in chunks and half a line before another answer, stream      | 5 events      | 2    |
      | stream    | 3 in a large chunk and half a line before another answer       | 3 events, cut | 1    |
      | resumable | 3 in chunks and half a first line before another answer, stream | 5 events     | 2    |

  Scenario Outline: a stream whose text looks like another answer is passed on whole
    Given a relay node with two endpoints that do: <script>
    When a caller sends a stream request
    Then the answer is <answer>

    Examples:
      | script                                   | answer        |
      | unframed events that quote a status line | 5 events      |
      | a chunk in parts                         | 5 events      |

  Scenario Outline: a chunk is handed on once it has ended, and a large one as it comes
    Given a connection to an endpoint
    When <came> KB of a chunk of <size> KB have come
    Then <handed> KB of them are handed on

    Examples:
      | came | size | handed |
      | 64   | 64   | 64     |
      | 63   | 64   | 0      |
      | 64   | 65   | 0      |
      | 100  | 1000 | 100    |

  Scenario Outline: such an answer is cut if another process or a silent one has the address then
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                | answer        | runs |
      | resumable | be replaced after 3 unframed, stream  | 5 events      | 2    |
      | unsafe    | be replaced after unframed            | unknown       | 1    |
      | safe      | be replaced after unframed, answer    | whole         | 2    |
      | unsafe    | fall silent after unframed            | unknown       | 1    |

  Scenario Outline: such an answer is cut if another process has its endpoint's name then
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                           | answer        | runs |
      | resumable | restart after 3 unframed, stream | 5 events      | 2    |
      | unsafe    | restart after unframed           | unknown       | 1    |

  Scenario: a stream is whole whose process has other connections open, whatever becomes of a new one
    Given a relay node with one endpoint that does: unframed events
    And 2 idle connections to it
    When it resets the first call after the answer to a stream request
    Then the answer is 5 events

  Scenario Outline: an endpoint that leaves or is gone ends in the midst of such an answer
    Given a relay node with two endpoints that do: <script>
    When the endpoint of a <kind> request is <state> as its answer ends
    Then the answer is <answer>
    And the endpoints ran it <runs> times
    And no crash is recorded

    Examples:
      | kind      | state   | script                               | answer        | runs |
      | stream    | leaving | end after 3 unframed                 | 3 events, cut | 1    |
      | resumable | leaving | end after 3 unframed, stream         | 5 events      | 2    |
      | unsafe    | leaving | end after unframed                   | unknown       | 1    |
      | safe      | leaving | end after unframed, answer           | whole         | 2    |
      | stream    | gone    | end after 3 unframed                 | 3 events, cut | 1    |
      | unsafe    | gone    | end after unframed                   | unknown       | 1    |
      | unsafe    | gone    | be replaced after unframed           | unknown       | 1    |
      | stream    | leaving | unframed events                      | 5 events      | 1    |
      | unsafe    | leaving | unframed                             | whole         | 1    |
      | unsafe    | gone    | unframed                             | whole         | 1    |

  Scenario Outline: endpoints that serve models are asked for their report as the connection of such a stream ends
    Given a relay node with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times
    And their health was asked for 0 times and their report <reports> times

    Examples:
      | kind   | script                       | answer        | runs | reports |
      | stream | unframed events              | 5 events      | 1    | 1       |
      | stream | be replaced after 3 unframed | 3 events, cut | 1    | 0       |
      | stream | end after 3 unframed         | 3 events, cut | 1    | 0       |
      | stream | stream                       | 5 events      | 1    | 0       |

  Scenario Outline: what its endpoint's report tells of its run shows no end of such an answer
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                             | answer        | runs |
      | resumable | run on after 3 unframed, stream                    | 5 events      | 2    |
      | resumable | drop 2 after 3 unframed, stream                    | 5 events      | 2    |
      | stream    | be listed for 0.3 s after unframed events          | 5 events      | 1    |
      | stream    | list no run after unframed events                  | 5 events      | 1    |
      | unsafe    | unframed                                           | whole         | 1    |

  Scenario: a caller that takes its stream up gets its rest whole that only a close ends
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: rest of a listed run
    When a stream is taken up after its event 3
    Then its caller gets 2 events, whole

  Scenario Outline: an endpoint is asked for its health as the connection of a stream ends
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And their health was asked for <times> times and their report 0 times

    Examples:
      | kind   | script          | answer        | times |
      | unsafe | answer          | whole         | 0     |
      | stream | stream          | 5 events      | 0     |
      | unsafe | unframed reset  | unknown       | 0     |
      | unsafe | unframed        | whole         | 1     |
      | stream | unframed events | 5 events      | 1     |

  Scenario Outline: an endpoint is not asked where an earlier connection to it is open
    Given a relay node with one endpoint that does: unframed events
    And <idle> idle connections to it
    When a caller sends a stream request
    Then the answer is 5 events
    And their health was asked for <times> times and their report 0 times

    Examples:
      | idle | times |
      | 1    | 1     |
      | 2    | 0     |

  Scenario: an endpoint that has asked for a back-off is not asked for its health
    Given a relay node with two endpoints that do: unframed events
    When the endpoint of a stream request is in back-off as that answer ends
    Then the answer is 5 events
    And their health was asked for 0 times and their report 0 times

  Scenario: an endpoint that has no room for the question is taken to be the same
    Given a relay node with two endpoints that do: unframed events
    And their health checks are refused for want of room 1 times
    When a caller sends a stream request
    Then the answer is 5 events
    And their health was asked for 1 times and their report 0 times

  Scenario Outline: another node's answer that ends with its connection is not taken for whole
    Given an answer of another node to a handed-over request that ends <how>
    When it is passed on
    Then its caller is given <gets>

    Examples:
      | how                         | gets    |
      | by its length               | it      |
      | as its connection is closed | nothing |
