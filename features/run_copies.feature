Feature: Copies of the runs at endpoints that leave, as the reducer decides

  Scenario Outline: a begun stream at an endpoint that leaves is copied to another one that can go on with it
    Given a node with a stream that runs at a, beside b and c, where <what>
    When a is <state>
    Then a copy is asked for at <holder>

    Examples:
      | what                                   | state               | holder |
      | nothing else is so                     | leaving by report   | b      |
      | nothing else is so                     | leaving by entry    | b      |
      | nothing else is so                     | leaving by notice   | b      |
      | nothing else is so                     | leaving by a node   | b      |
      | nothing else is so                     | gone                | b      |
      | nothing else is so                     | staying             | none   |
      | the stream may be resumed              | leaving by report   | b      |
      | the stream has no event yet            | leaving by report   | none   |
      | the request is for a body              | leaving by report   | none   |
      | the deadline is near                   | leaving by report   | none   |
      | a is a plain service's                 | leaving by report   | none   |
      | b leaves                               | leaving by report   | c      |
      | b is full                              | leaving by report   | c      |
      | b holds as many copies as it has slots | leaving by report   | c      |
      | b lacks the model                      | leaving by report   | c      |
      | b lacks the adapter                    | leaving by report   | c      |
      | b is of another version                | leaving by report   | c      |
      | b has a request rate                   | leaving by report   | c      |
      | b is in back-off                       | leaving by report   | c      |
      | b is in another data centre            | leaving by report   | c      |
      | b and c are full                       | leaving by report   | none   |

  Scenario Outline: a copy is used once, or freed
    Given a node with a stream that runs at a, beside b and c, where <what>
    When a is leaving by report
    And then <events>
    Then this follows: <effects>

    Examples:
      | what                      | events                                        | effects                              |
      | nothing else is so        | b has the copy, its answer ends in doubt      | it goes on at b from the copy        |
      | nothing else is so        | its answer ends in doubt                      | it ends as unknown                   |
      | nothing else is so        | b has the copy, its answer ends in doubt, the holder refuses it | it ends as unknown |
      | nothing else is so        | b has the copy, its answer ends in doubt, the holder can't be reached | it ends as unknown |
      | the stream may be resumed | b has the copy, its answer ends in doubt, the holder refuses it | it is sent to c   |
      | nothing else is so        | b has the copy, its answer ends in doubt, the answer succeeds | nothing            |
      | nothing else is so        | b has the copy, the answer succeeds           | the copy at b is freed               |
      | nothing else is so        | b has the copy, the caller leaves             | the copy at b is freed               |
      | nothing else is so        | b has the copy, its answer ends cut           | the copy at b is freed, it ends as unknown |
      | nothing else is so        | the answer succeeds, b has the copy           | the copy at b is freed               |
      | nothing else is so        | the caller leaves, b has no room              | nothing                              |
      | nothing else is so        | b has no room                                 | a copy is asked for at c             |
      | nothing else is so        | b has no room, c has no room                  | nothing                              |
      | d is there too            | b has no room, c has no room                  | nothing                              |
      | nothing else is so        | a knows no such run                           | nothing                              |
      | nothing else is so        | b has the copy, b leaves                      | the copy at b is freed, a copy is asked for at c |
      | nothing else is so        | b has the copy, b rests, its answer ends in doubt | the copy at b is freed, it ends as unknown |
      | nothing else is so        | b has the copy, its answer ends in doubt, its first event comes, b leaves | a copy is asked for at c        |

  Scenario: the first event at an endpoint that leaves has its run copied
    Given a node with a stream that runs at a, beside b and c, where the stream has no event yet
    When a is leaving by report
    And then its first event comes
    Then this follows: a copy is asked for at b

  Scenario: a run goes on from its copy beside no count of attempts
    Given a node with a stream that runs at a, beside b and c, where the stream may be resumed
    When a is leaving by report
    And then b has the copy, its answer ends in doubt
    Then no send and no resend of it are counted
    And b holds no copy, and runs it

  Scenario: an unrepeatable run never goes on where no copy was told
    Given a node with a stream that runs at a, beside b and c, where nothing else is so
    When a is leaving by report
    Then going on elsewhere than at a copy breaks the invariant at-most-once
