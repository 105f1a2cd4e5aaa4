Feature: Which nodes decide for all, as nodes start and age

  Scenario Outline: a node that has seen too little owns nothing beside those that have seen more
    Given nodes that start <starts> s after the first
    When owners of 200 subjects are chosen every 0.1 s for 60 s
    Then the last one owns nothing from <from> to <to> s, and some from <since> s on

    Examples:
      | starts   | from | to   | since |
      | 0.3, 30  | 30.0 | 39.9 | 40.1  |

  Scenario: a node knows at each moment for how long it has run, as the others do
    Given a node that starts at 5 s, and updates its roles every 0.1 s
    When 30 s have passed
    Then at each moment it knew for how long it had run, to 0.15 s
