@relay
Feature: What takes back that a stream which ended with its connection looked whole

  Scenario Outline: a run that is shown to go on behind its end is cut though its backup is refused
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 backed up behind which it goes on, stream
    And the endpoints copy their runs to each other, but <fault>
    And two streams ran there before
    When a caller sends a stream request
    Then the answer is 3 events, cut

    Examples:
      | fault                                            |
      | the copy is gone as it is used                   |
      | no room for the last part and none at the holder |

  Scenario: a backup that goes on and is closed before an event shows no end
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 backed up, unframed without events
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    When a caller sends a stream request
    Then the answer is 3 events, cut

  Scenario: a run that is broken off wherever it goes on is asked for twice without a further event
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 backed up, backed up and a reset before an event, backed up and a reset before an event, backed up and a reset before an event, backed up and a reset before an event
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    When a caller sends a stream request
    Then it went on at a copy 2 times

  Scenario: an empty rest says nothing of an end that was doubted
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: end after 3 unframed, unframed without events
    When a caller sends a resumable request
    Then the answer is 3 events, cut

  Scenario: an empty rest says nothing of events that came between
    Given a node with three endpoints and four attempts, where the first to be asked do: 3 unframed, one more and a reset, unframed without events
    When a caller sends a resumable request
    Then the answer is 4 events, cut

  Scenario Outline: streams that are given up at once are cut, in step or not
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>, <script>
    When it ends the first of the streams that it sends to two callers
    Then the answer is <answer>

    Examples:
      | script                                  | answer        |
      | 4 unframed as it stops                  | 4 events, cut |
      | 3 unframed until a while after it stops | 3 events, cut |

  Scenario: a request that waits there and is refused later is no work behind the end
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: 3 unframed until a while after it stops, 3 unframed until a while after it stops, be refused a while after it stops
    When it gives up two streams as a third request waits there
    Then the answer is 3 events, cut
