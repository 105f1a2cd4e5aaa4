@relay
Feature: What waits of one caller's gives way to others, and is counted until it is gone

  # Guards against a refusal that waits for the bytes that it refuses.
  Scenario: a request that is read and gives way is refused at once
    Given a listener that may hold 4 MB
    When a caller sends 3 MB of a body of 4, and another 2 MB of one
    Then the first was refused within 1 s, as not run

  # Guards against reading bodies for which there is no room.
  Scenario: a request that can't fit is refused at its head
    Given a listener that may hold 4 MB
    When a caller sends the head of a request with a body of 5 MB
    Then the first was refused within 1 s, as not run

  # Guards against a refusal that is lost, as the rest of the body arrives after the close.
  Scenario: a caller that still sends gets its refusal
    Given a listener that may hold 4 MB
    When a caller sends the head of a request with a body of 5 MB, and the body later
    Then the first was refused within 1 s, as not run

  # Guards against running bodies that leave no room, since they can't be given up.
  Scenario: bodies that run leave room for those of another sender
    Given a listener that may hold 8 MB
    When a caller sends 8 bodies of 1 MB at once, and another caller one
    Then at most 4 of the 8 run, and that of the other

  # Guards against answers that stay in memory as their connection waits to be closed.
  Scenario Outline: an answer that isn't read gives way though its connection <ends>
    Given a listener that may hold 32 MB
    When a caller doesn't read an answer of 16 MB, and its connection <ends>
    And then 1 MB may be held
    Then its connection is gone within 1 s

    Examples:
      | ends    |
      | stays   |
      | is over |

  # Guards against an endpoint's answers that give way to callers who read slowly.
  Scenario: what waits for a caller that doesn't read is the caller's
    Given a listener that may hold 32 MB
    And 3 MB of an answer of the same endpoint wait elsewhere
    When a caller doesn't read a stream behind which 4 MB wait
    And then 6 MB may be held
    Then its connection is gone within 1 s
    And the answer that waits elsewhere still does

  # Guards against pipelined bytes that can't be given up while a request runs.
  Scenario: pipelined bytes give way, and the request before them is answered
    Given a listener that may hold 8 MB
    When a caller pipelines 200 KB behind a request that runs, and then 0.1 MB may be held
    Then its request is answered, and its connection is over

  # Guards against bytes that are counted for ever, or not any more though they are held.
  Scenario Outline: nothing is counted once <end>
    Given a listener that may hold 8 MB
    When a caller sends a body of 1 MB, and then <end>
    Then nothing is counted within 2 s

    Examples:
      | end                       |
      | it is answered            |
      | its caller has left       |
      | its caller has half-left  |
      | it is aborted             |
      | it has failed             |
      | one more is answered      |
