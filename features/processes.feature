@relay
Feature: Real processes keep their promises under signals, changes and what endpoints say

  Scenario Outline: a short soak of real processes
    Given <nodes> nodes as processes, <callers> callers on kept connections, and seed <seed>
    When troubles come for <seconds> s, in series and overlapping
    Then no promise is broken
    And most requests were answered

    Examples: longer ones are played by hand
      | nodes | callers | seed | seconds |
      | 3     | 8       | 1    | 20      |
      | 4     | 6       | 2    | 15      |
