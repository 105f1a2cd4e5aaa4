Feature: While nodes are stopped one after the other somebody gives orders again soon

  # Guards against many seconds without any order while boxes are stopped in turn: each holder that
  # stopped before it might give orders had the next one wait as if orders had just been given, so
  # that models and adapters which were asked for stood nowhere meanwhile.

  Scenario Outline: what a holder had to wait for is waited for once
    Given <nodes> nodes that contend for the lease
    When whoever holds it is stopped as planned, <times> times, <apart> s apart
    Then nobody gave orders for <most> s at most
    And no fence is used by two nodes, none falls, and orders lie 3 s apart

    # 3.3 s between orders of two holders, and 1 s for the lease to pass on the way.
    Examples:
      | nodes | times | apart | most |
      | 9     | 1     | 1.3   | 4.3  |
      | 9     | 2     | 1.3   | 4.3  |
      | 9     | 4     | 1.3   | 4.3  |
      | 9     | 3     | 0.6   | 4.3  |
      | 9     | 3     | 2.9   | 4.3  |
      | 69    | 4     | 1.3   | 4.3  |

  # Guards against a second lost at each hand-over: nodes that have never read the lease wrote upon nothing,
  # lost, and asked again only when their next write was due.
  Scenario Outline: a freed lease is taken soon, also by nodes that have never read it
    Given <nodes> nodes that contend for the lease
    When whoever holds it is stopped as planned
    Then another node holds it within 0.6 s

    Examples:
      | nodes |
      | 9     |
      | 69    |
