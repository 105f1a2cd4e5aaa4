@relay
Feature: Streams that their endpoint closes beside others, and lives on

  Scenario Outline: a stream that its endpoint closes together with others is not told as whole
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: 3 unframed and no more, <beside>
    When it <closes> the streams that it sends to two callers, and lives on
    Then the answer is 3 events, cut

    Examples:
      | beside                 | closes |
      | 3 unframed and no more | closes |
      | 3 and no more          | closes |
      | 3 unframed and no more | resets |

  Scenario Outline: a stream that ends with its connection is whole beside others that go on
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: unframed events as it stops, <beside>
    When it ends the first of the streams that it sends to two callers
    Then the answer is 5 events

    Examples:
      | beside                      |
      | an event each 0.02 s        |
      | 3 and no more               |
      | 3 unframed and no more      |

  Scenario: streams that end in one moment are whole beside a third that goes on
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: unframed events as it stops, unframed events as it stops, an event each 0.02 s
    When it ends the first of the streams that it sends to three callers
    Then the answer is 5 events

  Scenario Outline: a stream that ends beside a body is whole if the body shows that it ended by itself
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: unframed events that it closes as it stops, <body>
    When it ends the stream and the body that it sends to two callers
    Then the answer is <answer>

    Examples:
      | body                    | answer        |
      | open json once it stops | 5 events      |
      | open text once it stops | 5 events, cut |
      | open json as it stops   | 5 events, cut |
