@relay
Feature: Streams that go on from copies of their runs, between sockets

  Scenario Outline: a stream of one attempt goes on only from a copy that is there
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    And the endpoints copy their runs to each other, but <fault>
    When a stream request runs whose endpoint is leaving and 200 ms later ends its answers and exits
    Then the answer is <answer>
    And it went on at a copy <times> times

    Examples:
      | fault                                 | answer        | times |
      | nothing is wrong                      | 5 events      | 1     |
      | they don't know the call              | 3 events, cut | 0     |
      | another call for the run is under way | 3 events, cut | 0     |
      | there is no room for it               | 3 events, cut | 0     |
      | there is no answer in time            | 3 events, cut | 0     |
      | the handle has odd letters            | 3 events, cut | 0     |
      | the handle is no text                 | 3 events, cut | 0     |
      | the copy is gone as it is used        | 3 events, cut | 0     |

  Scenario Outline: an end is looked at where the copy that was to show it is gone
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    And another endpoint that holds copies and refuses them
    When a stream and another one run at the first, which leaves and ends its answers and lives on
    Then the answer is <answer>

    Examples:
      | script                                  | answer        |
      | 3 until it stops, an event each 0.02 s  | 3 events      |
      | 3 until it stops, 3 until it stops      | 3 events, cut |

  Scenario Outline: a stream that may be resumed is asked for elsewhere where its copy is gone
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    And the endpoints copy their runs to each other, but <fault>
    When a resumable request runs whose endpoint is leaving and 200 ms later ends its answers and exits
    Then the answer is 5 events
    And it went on at a copy <times> times

    Examples:
      | fault                          | times |
      | nothing is wrong               | 1     |
      | the copy is gone as it is used | 0     |
      | they don't know the call       | 0     |

  Scenario Outline: a run that may go on behind a close goes on from its copy only once it is stopped
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    And the endpoints copy their runs to each other, but <fault>
    When a stream request runs whose endpoint is leaving and 200 ms later ends its answers and lives on
    Then the answer is <answer>
    And it went on at a copy <times> times
    And no run goes on beside another one

    Examples:
      | script                                        | fault                                 | answer        | times |
      | 3 and a close behind which it goes on, stream | nothing is wrong                      | 5 events      | 1     |
      | 3 and a close behind which it ends, stream    | nothing is wrong                      | 5 events      | 1     |
      | 3 and a close behind which it goes on, stream | there is no room for the last part    | 5 events      | 1     |
      | 3 and a close behind which it goes on, stream | the last call is refused for another  | 3 events, cut | 0     |
      | 3 and a close behind which it goes on, stream | there is no answer to the last call   | 3 events, cut | 0     |

  Scenario: a stream whose endpoint's process is killed goes on from its copy
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    When the run of a stream request was copied, and its endpoint is killed
    Then the answer is 5 events
    And it went on at a copy 1 times

  Scenario: the copy of a run whose caller leaves is freed
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    When the run of a stream request was copied, and its caller leaves
    Then no endpoint holds a copy soon

  Scenario: the copy of a run is freed at its holder where its source takes no calls
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 3 until it stops, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    When the run of a stream request was copied, and its caller leaves, whose endpoint takes no calls
    Then no endpoint holds a copy soon

  Scenario Outline: events that the caller of a run that goes on has are left out
    When a rest of a stream after event 3 comes with the events <events> in <parts>
    Then the events <passed> are passed on, and there is <fault>

    Examples:
      | events    | parts  | passed  | fault    |
      | 3,4,5     | one    | 4,5     | no fault |
      | 3,4,5     | pieces | 4,5     | no fault |
      | 4,5       | one    | 4,5     | no fault |
      | 1,2,3,4,5 | one    | 4,5     | no fault |
      | 3         | one    | none    | no fault |
      | 3,4,3     | one    | 4,3     | a fault  |
      | none,4    | one    | none,4  | a fault  |

  Scenario Outline: the answer to a call for a copy is read
    When an endpoint answers a call for a copy with <status> and <body>
    Then the copy is <copy>, the run <known> and it <stopped>

    Examples:
      | status | body                          | copy           | known      | stopped            |
      | 200    | {"handle":"h1","created":3}   | 10.0.0.1:1/h1  | is known   | is named           |
      | 200    | {"handle":7}                  | none           | is known   | isn't named        |
      | 200    | {"handle":"a b"}              | none           | is known   | isn't named        |
      | 200    | {"handle":""}                 | none           | is known   | isn't named        |
      | 200    | [1]                           | none           | is known   | isn't named        |
      | 200    | no JSON                       | none           | is known   | isn't named        |
      | 404    | {"handle":"h1"}               | none           | is unknown | isn't named        |
      | 409    | {"handle":"h1"}               | none           | is known   | isn't named        |
      | 503    | {}                            | none           | is known   | isn't named        |
      | 503    | {"handle":"h1"}               | none           | is known   | is named           |
