@relay
Feature: Answers in chunks that an endpoint ends, cleanly, as it ends as planned

  Scenario Outline: an end that a planned stop brought about is not told as the answer's own where another endpoint can be asked
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When the endpoint of a <kind> request is <state>, and <stops>
    Then the answer is <answer>
    And the endpoints ran it <runs> times
    And no crash is recorded

    Examples:
      | kind      | state     | script                                         | stops                                             | answer   | runs |
      | resumable | leaving   | 3 until it stops, stream                       | ends its answers and exits                        | 5 events | 2    |
      | resumable | gone      | 3 until it stops, stream                       | ends its answers and exits                        | 5 events | 2    |
      | resumable | leaving   | 3 until it stops, stream                       | ends its answers and exits 0.1 s later            | 5 events | 2    |
      | resumable | leaving   | 3 until it stops, stream                       | closes its listener, ends its answers and exits   | 5 events | 2    |
      | resumable | gone      | 3 until it stops and closes, stream            | closes its listener, ends its answers and exits   | 5 events | 2    |
      | resumable | restarted | 3 until it stops, stream                       | ends its answers and is replaced                  | 5 events | 2    |
      | resumable | leaving   | no event until it stops, stream                | ends its answers and exits                        | 5 events | 2    |
      | safe      | leaving   | half until it stops, answer                    | ends its answers and exits                        | whole    | 2    |
      | safe      | gone      | half of JSON until it stops, answer            | ends its answers and exits                        | whole    | 2    |

  Scenario Outline: an answer that an endpoint ends in its midst as its process ends is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When the endpoint of a <kind> request is <state>, and <stops>
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | state   | script                       | stops                                           | answer        | runs |
      | stream    | leaving | 3 until it stops             | ends its answers and exits                      | 3 events, cut | 1    |
      | stream    | leaving | 3 until it stops and closes  | ends its answers and exits                      | 3 events, cut | 1    |
      | stream    | gone    | 3 until it stops             | closes its listener, ends its answers and exits | 3 events, cut | 1    |
      | stream    | restarted | 3 until it stops           | ends its answers and another takes its name     | 3 events, cut | 1    |
      | stream    | staying | 3 until it stops             | ends its answers and exits                      | 3 events, cut | 1    |
      | stream    | staying | 3 until it stops and closes  | ends its answers and exits                      | 3 events, cut | 1    |
      | resumable | staying | 3 until it stops, stream     | ends its answers and exits                      | 5 events      | 2    |
      | unsafe    | leaving | half until it stops          | ends its answers and exits                      | unknown       | 1    |
      | unsafe    | staying | half until it stops          | ends its answers and exits                      | unknown       | 1    |
      | safe      | staying | half until it stops, answer  | ends its answers and exits                      | whole         | 2    |

  Scenario Outline: a process that listens at the address of one that ended does not show that its answer is whole
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    When the endpoint of a <kind> request that follows others is <state>, and <stops>
    Then the answer is <answer>

    Examples:
      | kind   | state   | script                                                 | stops                                              | answer        |
      | unsafe | leaving | answer, answer, half until it stops                    | ends its answers and exits beside its successor    | unknown       |
      | unsafe | gone    | answer, answer, half until it stops and closes         | ends its answers and exits beside its successor    | unknown       |
      | unsafe | staying | answer, answer, half until it stops                    | ends its answers and exits beside its successor    | unknown       |
      | stream | staying | answer, answer, 3 until it stops                       | ends its answers and exits beside its successor    | 3 events, cut |
      | stream | staying | answer, answer, 3 until it stops and closes            | ends its answers and exits beside its successor    | 3 events, cut |

  Scenario Outline: an endpoint that closes the connection of each answer is believed for as long as it stays
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    When the endpoint of a <kind> request that follows others is staying, and ends its answers and lives on
    Then the answer is <answer>

    Examples:
      | kind   | script                                                                       | answer   |
      | stream | answer and close, answer and close, 3 and the rest as it stops and closes    | 5 events |
      | stream | answer, answer, 3 and the rest as it stops and closes as said                | 5 events |

  Scenario Outline: what shows that an endpoint's process lives on
    When the connection of an answer <own>, <others>, at an endpoint that <closes> and is <state>
    Then its process is <verdict>

    Examples:
      | own                      | others               | closes                  | state     | verdict                           |
      | is open                  | no other is          | keeps its connections   | leaving   | shown to live                     |
      | is open                  | no other is          | keeps its connections   | replaced  | shown to live                     |
      | is open                  | no other is          | keeps its connections   | staying   | shown to live                     |
      | was closed there         | an earlier one is    | keeps its connections   | leaving   | shown to live                     |
      | was closed there         | an earlier one is    | keeps its connections   | replaced  | taken for ended                   |
      | was closed there         | an earlier one is    | keeps its connections   | staying   | shown to live                     |
      | was closed there         | an earlier one is    | closes its connections  | staying   | shown to live                     |
      | was closed as announced  | an earlier one is    | keeps its connections   | staying   | shown to live                     |
      | was closed there         | no other is          | keeps its connections   | leaving   | taken for ended                   |
      | was closed there         | no other is          | closes its connections  | leaving   | alive if its address is served    |
      | was closed as announced  | no other is          | keeps its connections   | leaving   | alive if its address is served    |
      | was closed there         | no other is          | keeps its connections   | staying   | alive if its address is served    |
      | was closed there         | no other is          | closes its connections  | staying   | alive if its address is served    |
      | was closed as announced  | no other is          | keeps its connections   | staying   | alive if its address is served    |

  Scenario Outline: an end at a leaving endpoint that lives on is not believed if another one came with it
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: 3 until it stops, <beside>
    When the endpoint of a stream request beside another stream is leaving, and ends its answers and lives on
    Then the answer is <answer>

    Examples:
      | beside                     | answer        |
      | 3 until it stops           | 3 events, cut |
      | an event each 0.02 s       | 3 events      |
      | 3 and no more              | 3 events      |

  Scenario Outline: a stream that ends just before its endpoint exits, untold, is whole if another one went on behind it
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <own>, <beside>
    When the endpoint of a stream request beside another stream is staying, and <stops>
    Then the answer is <answer>

    Examples:
      | own                        | beside                     | stops                             | answer        |
      | 3 and the rest as it stops | an event each 0.02 s       | exits 0.06 s after its answers    | 5 events      |
      | 3 until it stops           | 3 until it stops           | ends its answers and exits        | 3 events, cut |

  Scenario Outline: a process that goes before the time for which it had promised to serve on has not finished its answers
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: 3 until it stops
    When a stream request runs whose endpoint is leaving and <later> ms later <stops>
    Then the answer is <answer>

    Examples:
      | later | stops                                | answer        |
      | 200   | ends its answers and exits           | 3 events, cut |
      | 200   | ends its answers and exits 0.5 s later | 3 events, cut |
      | 1200  | ends its answers and exits           | 3 events      |

  Scenario Outline: endpoints of a service that have ended runs in their midst are not believed as they leave
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    When the endpoint of a resumable request is leaving, and ends its answers and exits
    And then the other endpoint of a <kind> request that does 3 until it stops leaves and 1200 ms later ends its answers and lives on
    Then the answer is <answer>

    Examples:
      | kind   | answer        |
      | stream | 3 events, cut |

  Scenario Outline: what is seen of an endpoint decides whether a doubted end is the answer's own
    When an end that is doubted for <cause> is of <what>, its endpoint <seen>
    Then by what was seen it is <verdict>

    Examples:
      | cause    | what     | seen                                | verdict  |
      | its exit | a stream | lives                               | believed |
      | its exit | a stream | is gone                             | doubted  |
      | its exit | a stream | is gone, worked on                  | doubted  |
      | its exit | a stream | is gone, bytes came behind it       | doubted  |
      | its exit | a stream | is gone, worked on, bytes came behind it | believed |
      | its exit | a stream | is gone, worked on, bytes came behind it, ended others with it | doubted |
      | its exit | a stream | is gone, worked on, bytes came behind it, of such that end runs | doubted |
      | its exit | a body   | is gone, worked on, bytes came behind it | doubted |
      | its exit | a stream | lives, ended others with it         | believed |
      | its exit | a body   | is gone                             | doubted  |
      | its stop | a stream | lives                               | believed |
      | its stop | a stream | lives, and the rest can be asked for | doubted  |
      | its stop | a stream | is gone, worked on, and the rest can be asked for | believed |
      | its exit | a stream | lives, and the rest can be asked for | believed |
      | its stop | a stream | lives, had promised to              | believed |
      | its stop | a stream | is gone                             | believed |
      | its stop | a stream | is gone, had promised to serve      | doubted  |
      | its stop | a stream | is gone, worked on                  | believed |
      | its stop | a stream | lives, ended others with it         | doubted  |
      | its stop | a stream | lives, worked on, ended others with it | believed |
      | its stop | a stream | lives, of such that end runs        | doubted  |
      | its stop | a body   | is gone                             | doubted  |
      | its stop | a body   | lives, ended others with it         | believed |
      | its time | a stream | lives                               | believed |
      | its time | a stream | is gone, worked on                  | doubted  |
      | its time | a stream | lives, of such that end runs        | doubted  |
      | its time | a stream | lives, worked on, of such that end runs | believed |

  Scenario Outline: until when a leaving endpoint has promised to serve on
    When this node learnt at <left> s that an endpoint leaves, which serves on for 3 s then and ends at <ends> s
    Then it has promised to serve until <until> s

    Examples:
      | left | ends | until |
      | 10   | inf  | 12    |
      | inf  | inf  | -inf  |
      | 10   | 11   | -inf  |

  Scenario Outline: whether answers of an endpoint ended together
    When others of an endpoint's answers end at <ends> s
    Then one that ended there at 10 s did so <how>

    Examples:
      | ends             | how             |
      | 9.97             | alone           |
      | 10               | with another    |
      | 10.015           | with another    |
      | 9.985            | with another    |
      | 9.9, 10.1        | alone           |
      | 9.9, 10.01       | with another    |

  Scenario Outline: whether an endpoint worked on after the end of an answer is told by the last event of another run there
    When another run's last event comes <after> s after the end of an answer
    Then by that the endpoint counts as <state>

    Examples:
      | after | state       |
      | -1    | not at work |
      | 0     | not at work |
      | 0.02  | not at work |
      | 0.03  | at work     |

  Scenario Outline: a stream of one attempt that its leaving endpoint ends in its midst goes on from a copy
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    And the endpoints copy their runs to each other
    When a stream request runs whose endpoint is <state> and <copied> <stops>
    Then the answer is 5 events
    And the endpoints ran it once, and it went on at a copy once

    Examples:
      | state   | copied          | script                   | stops                             |
      | leaving | 200 ms later    | 3 until it stops, stream | ends its answers and exits        |
      | leaving | 200 ms later    | 3 until it stops, stream | ends its answers and exits 1 s later |
      | leaving | 200 ms later    | 3 until it stops, stream | ends its answers and lives on     |
      | gone    | 200 ms later    | 3 until it stops, stream | ends its answers and exits        |
      | leaving | 200 ms later    | 3 until it stops and closes, stream | ends its answers and lives on |

  Scenario: a stream of which an event without an id came last does not go on from a copy, which would bring that event again
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 and one without an id until it stops, stream
    And the endpoints copy their runs to each other
    When a stream request runs whose endpoint is leaving and 200 ms later ends its answers and exits
    Then its caller gets 4 events, cut

  Scenario Outline: an end at the time that an endpoint stated for its own is not told as the answer's own
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When the endpoint of a <kind> request states 400 ms in its <where>, and <stops> then
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | where  | script                                         | stops                                             | answer        | runs |
      | stream    | entry  | 3 until it stops                               | ends its answers and exits                        | 3 events, cut | 1    |
      | stream    | report | 3 until it stops                               | ends its answers and exits                        | 3 events, cut | 1    |
      | stream    | entry  | 3 until it stops                               | closes its listener, ends its answers and exits   | 3 events, cut | 1    |
      | stream    | entry  | 3 until it stops and closes                    | ends its answers and exits                        | 3 events, cut | 1    |
      | stream    | entry  | no event until it stops                        | ends its answers and exits                        | unknown       | 1    |
      | resumable | entry  | 3 until it stops, stream                       | ends its answers and exits                        | 5 events      | 2    |
      | unsafe    | entry  | half until it stops                            | ends its answers and exits                        | unknown       | 1    |
      | unsafe    | entry  | half of JSON until it stops                    | ends its answers and exits                        | unknown       | 1    |
      | safe      | entry  | half until it stops, answer                    | ends its answers and exits                        | whole         | 2    |

  Scenario Outline: a sound end at an endpoint that ends as planned is told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    And the endpoints copy their runs to each other
    When the endpoint of a <kind> request is <state>, and <stops>
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | state     | script                                         | stops                                             | answer   | runs |
      | stream    | leaving   | 3 and the rest as it stops, stream | closes its listener, and exits 0.1 s after its answers | 5 events | 1 |
      | stream    | gone      | 3 and the rest as it stops and closes, stream | closes its listener, and exits 0.1 s after its answers | 5 events | 1 |
      | resumable | leaving   | 3 and the rest as it stops, stream | closes its listener, and exits 1 s after its answers | 5 events | 1 |
      | resumable | leaving   | 3 and the rest as it stops, stream | ends its answers and lives on                     | 5 events | 1    |
      | resumable | leaving   | 3 and the rest as it stops and closes, stream | ends its answers and lives on                     | 5 events | 1    |
      | resumable | leaving   | 3 and the rest as it stops and closes, stream  | closes its listener, and exits 0.1 s after its answers | 5 events | 1 |
      | resumable | leaving beside another connection | 3 and the rest as it stops and closes, stream | closes its listener, and exits 1 s after its answers | 5 events | 1 |
      | resumable | evacuated | 3 and the rest as it stops                     | ends its answers and lives on                     | 5 events | 1    |

  Scenario Outline: an endpoint that lives on beyond the time that it stated has not ended the answer
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    And the endpoints copy their runs to each other
    When the endpoint of a <kind> request states 200 ms in its entry, and ends its answers and lives on then
    Then the answer is <answer>
    And the endpoints ran it 1 times

    Examples:
      | kind      | script                                | answer     |
      | stream    | 3 and the rest as it stops, stream | 5 events   |
      | stream    | 3 and the rest as it stops and closes, stream | 5 events   |
      | resumable | 3 and the rest as it stops, stream | 5 events   |
      | unsafe    | all until it stops                    | whole      |
      | safe      | all until it stops                    | whole      |

  Scenario Outline: a body that shows its own end is whole whatever its endpoint does
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: JSON until it stops
    When the endpoint of a <kind> request <event>
    Then its caller gets the whole of its JSON
    And the endpoints ran it 1 times

    Examples:
      | kind   | event                                                        |
      | safe   | is leaving, and ends its answers and exits                   |
      | unsafe | states 200 ms in its entry, and ends its answers and exits then |

  Scenario: an end long before the time that an endpoint stated is the answer's own
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 and the rest as it stops, stream
    And the endpoints copy their runs to each other
    When the endpoint of a stream request states 5000 ms in its entry, and closes its listener, and exits 0.1 s after its answers at once
    Then the answer is 5 events

  Scenario: an end shortly before its request's deadline is not held back beyond it
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 and the rest as it stops, stream
    And the endpoints copy their runs to each other
    When a caller who states 900 ms sends a resumable request, and 550 ms later its endpoint leaves, and ends its answers and lives on
    Then the answer is 5 events
    And the endpoints ran it 1 times

  Scenario Outline: an end at an endpoint's stated time that comes too late to be looked at is not told as the answer's own
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller who states 900 ms sends a <kind> request, whose endpoint states 600 ms, and <later> ms later ends its answers and exits 0.1 s later
    Then the answer is <answer>

    Examples:
      | kind      | script              | later | answer        |
      | stream    | 3 until it stops    | 820   | 3 events, cut |
      | stream    | 3 until it stops    | 870   | 3 events, cut |
      | resumable | 3 until it stops    | 870   | 3 events, cut |
      | unsafe    | half until it stops | 870   | unknown       |

  Scenario Outline: an end at a leaving endpoint is doubted also where it comes too late to be looked at
    When an answer of <kind> ends <left> s before its leaving endpoint's stated time
    And it can be looked at for <seconds> s at the most
    Then it is doubted for <cause>, and there is <time> to look

    Examples:
      | kind            | left | seconds | cause    | time    |
      | another attempt | no   | 0.3     | its stop | time    |
      | another attempt | no   | 0.2     | its stop | time    |
      | another attempt | no   | 0.0     | its stop | no time |
      | one attempt     | no   | 0.05    | its stop | time    |
      | one attempt     | no   | 0.0     | its stop | no time |
      | one attempt     | 0    | 0.1     | its time | time    |
      | one attempt     | 0    | 0.05    | its time | no time |
      | one attempt     | 0    | 0.0     | its time | no time |

  Scenario Outline: no endpoint is asked for the rest where none can be
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    When the endpoint of a resumable request is leaving, and closes its listener, and exits 0.1 s after its answers
    Then the answer is 5 events, cut
    And the endpoints ran it 1 times

    Examples:
      | script                                |
      | 3 and the rest as it stops and closes |

  Scenario Outline: nothing tells a clean end in the midst of a run at an endpoint that stays and lives on
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When the endpoint of a <kind> request is <state>, and <stops>
    Then the answer is <answer>
    And the endpoints ran it 1 times

    Examples:
      | kind      | state     | script           | stops                         | answer   |
      | stream    | staying   | 3 until it stops | ends its answers and lives on | 3 events |
      | resumable | staying   | 3 until it stops | ends its answers and lives on | 3 events |

  Scenario Outline: what may have ended an answer in chunks is told from its endpoint's state and stated time
    When an answer of <kind> ends <left> s before its <state> endpoint's stated time
    Then it is doubted for <cause>, and told from life at <look> s after its end

    Examples:
      | kind              | state   | left | cause       | look |
      | one attempt       | staying | no   | its exit    | 0.1  |
      | one attempt       | leaving | no   | its stop    | 0.1  |
      | another attempt   | staying | no   | its exit    | 0.1  |
      | a body at once    | staying | no   | nothing     | -    |
      | a body at once    | leaving | no   | its stop    | 0.1  |
      | another attempt   | leaving | no   | its stop    | 0.3  |
      | another attempt   | leaving | 9    | its stop    | 0.3  |
      | one attempt       | leaving | 9    | its stop    | 0.1  |
      | one attempt       | leaving | 0.6  | its stop    | 0.1  |
      | one attempt       | leaving | 0.5  | its time    | 0.1  |
      | one attempt       | leaving | 0.2  | its time    | 0.1  |
      | one attempt       | leaving | 0    | its time    | 0.1  |
      | another attempt   | leaving | 0.2  | its time    | 0.3  |
      | one attempt       | leaving | -7   | its time    | 0.1  |

  Scenario Outline: the time that an endpoint has left is read
    When an endpoint states at 10 s in its <where>, which is <age> s old: state <state>, remaining-ms <value>
    Then it is taken to end at <end> s
    And <odd> odd value is logged

    Examples:
      | where  | age | state    | value   | end  | odd |
      | entry  | 0   | draining | 3000    | 13   | no  |
      | entry  | 0   | draining | 0       | 10   | no  |
      | entry  | 0   | draining | 2500.5  | 12.5005 | no  |
      | entry  | 0   | draining | missing | inf  | no  |
      | entry  | 0   | draining | null    | inf  | no  |
      | entry  | 0   | ready    | 0       | inf  | no  |
      | entry  | 0   | draining | -1      | inf  | one |
      | entry  | 0   | draining | true    | inf  | one |
      | entry  | 0   | draining | "3000"  | inf  | one |
      | entry  | 0   | draining | [3000]  | inf  | one |
      | entry  | 0   | draining | 1e300   | inf  | one |
      | report | 0   | draining | 3000    | 13   | no  |
      | report | 1   | draining | 3000    | 12   | no  |
      | report | 0   | ready    | 0       | inf  | no  |
      | report | 0   | draining | "soon"  | inf  | one |

  Scenario: of the times that an endpoint states the first to come holds, and a restart ends it
    Given an endpoint that states at 10 s that 3 s are left, at 11 s that 1 s is, at 11.5 s that 30 s are, and at 12 s nothing
    Then it is taken to end at 12 s
    And once it has restarted it is taken to end at inf s

  Scenario Outline: a request that no node of the stage has sent takes no step of an endpoint's script
    Given a relay node with one endpoint that does: fail
    When <what> from elsewhere reaches the endpoint's port
    And a caller sends a unsafe request
    Then the answer is endpoint's 500
    And the endpoints ran it 1 times

    Examples:
      | what                    |
      | a read of a store       |
      | a write to a store      |
      | a request without an id |
