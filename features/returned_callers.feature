Feature: A caller that has come back is not sent away for good while its model is being loaded for it

  # Guards against patient callers refused at their last try with the load that would serve them under way.

  Scenario Outline: a caller with no further try waits for a load that it can live to see
    Given a node at which callers of a route have brought <brought> s, and stay <stays> s without an event
    And a load of n is announced to end in <in_s> s
    When a request for n with <left> s left and an objective of <objective> s arrives
    Then once 1.5 s have passed the caller <fate>

    # A model is usable 1 s after its load; a first try comes back for a load within a third of its time.
    Examples:
      | brought | stays | in_s | left | objective | fate       |
      | 20      | 20    | 6.0  | 13   | 5         | waits      |
      | 20      | 20    | 4.0  | 13   | 5         | waits      |
      | 20      | 20    | 6.0  | 20   | 5         | is refused |
      | 20      | 20    | 6.0  | 6    | 5         | is refused |
      | 12      | 2     | 6.0  | 8    | 0.4       | is refused |
      | 20      | 20    | none | 13   | 5         | waits      |
      | 20      | 20    | none | 8    | 5         | is refused |
      | 20      | 20    | none | 20   | 5         | is refused |
      | 12      | 2     | none | 8    | 0.4       | is refused |

  Scenario: it is sent when its model has come
    Given a node at which callers of a route have brought 20 s, and stay 20 s without an event
    And a load of n is announced to end in 6 s
    When a request for n with 13 s left and an objective of 5 s arrives
    And n arrives on its runner after 6.4 s
    Then it is sent, and the lease holder knew that its caller waited for 6 to 7.1 s

  Scenario: a load that is announced while it waits is waited for as well
    Given a node at which callers of a route have brought 20 s, and stay 20 s without an event
    And its runners have a copy of n
    When a request for n with 13 s left and an objective of 5 s arrives
    And 1 s later a load of n is announced to end in 5 s
    Then once 3.5 s have passed the caller waits

  Scenario: where nobody announces a load it waits for a quarter of its time, which the lease holder knows
    Given a node at which callers of a route have brought 20 s, and stay 20 s without an event
    When a request for n with 13 s left and an objective of 5 s arrives
    Then once 3 s have passed the caller waits
    And once 1 s have passed the caller is refused
    And the lease holder knew that it waited for 3 to 3.3 s

  Scenario Outline: it is refused soon once the load won't come
    Given a node at which callers of a route have brought 20 s, and stay 20 s without an event
    And a load of n is announced to end in 6 s
    When a request for n with 13 s left and an objective of 5 s arrives
    And 4 s later <event>
    Then once 0.7 s have passed the caller is refused

    Examples:
      | event                                        |
      | its runner is gone                           |
      | a load of n is announced to end in 12 s      |

  Scenario: who waited for a model without room is refused after the wait for room
    Given a node at which callers of a route have brought 20 s, and stay 20 s without an event
    And a load of n is announced to end in 6 s
    When a request for n with 13 s left and an objective of 5 s arrives
    And n arrives on its runner, which is full, after 6.4 s
    Then once 0.7 s have passed the caller waits
    And once 1.5 s have passed the caller is refused

  Scenario Outline: callers of a stream leave after the longest of three gaps, others stay
    Given a route of the kind <kind> with an objective of <objective> s and pauses up to <pause> s
    Then its callers stay for <stays> s without an event

    Examples:
      | kind   | objective | pause | stays |
      | stream | 0.4       | 0.2   | 2     |
      | stream | 5         | 0.25  | 20    |
      | stream | 0.4       | 0.5   | 4     |
      | unsafe | 0.4       | 0.5   | inf   |
