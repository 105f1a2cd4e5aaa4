Feature: Which nodes decide for all, as nodes start and age

  Scenario Outline: nodes that have run for about as long take no subjects from each other
    Given nodes that start <starts> s after the first
    When owners of 200 subjects are chosen every 0.1 s for 60 s
    Then from <from> s on no subject moves more than <moves> times
    And no node owns more than <most> of them from <from> s on

    Examples:
      | starts             | from | moves | most |
      | 0.3, 0.6           | 0.7  | 0     | 90   |
      | 0.1, 0.9, 1.7, 1.9 | 2.0  | 0     | 70   |
      | 0.3, 0.6, 30       | 0.7  | 1     | 90   |
      | 5                  | 5.1  | 1     | 200  |
      | 5, 5.5, 6          | 6.1  | 3     | 200  |

  Scenario Outline: a node that has seen too little owns nothing beside those that have seen more
    Given nodes that start <starts> s after the first
    When owners of 200 subjects are chosen every 0.1 s for 60 s
    Then the last one owns nothing from <from> to <to> s, and some from <since> s on

    Examples:
      | starts   | from | to   | since |
      | 0.3, 30  | 30.0 | 39.9 | 40.1  |
      | 3        | 3.0  | 12.9 | 13.1  |

  Scenario: a node knows at each moment for how long it has run, as the others do
    Given a node that starts at 5 s, and updates its roles every 0.1 s
    When 30 s have passed
    Then at each moment it knew for how long it had run, to 0.15 s
