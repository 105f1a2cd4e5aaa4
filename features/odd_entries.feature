@relay
Feature: What one client wrote to the store stops nothing but itself

  Scenario Outline: an odd entry stops neither the other entries nor the node
    Given two endpoints, and the odd entry <entry> that is written <when>
    When a third endpoint starts
    Then all three endpoints serve requests, and no other endpoint exists
    And the odd entry is logged once, and the line names <field>
    And no task has failed, and no call to the store

    Examples:
      | entry               | when                   | field     |
      | 100,000 levels      | before the node starts | spec      |
      | 2,000 levels in x   | before the node starts | spec.x    |
      | 300 levels in x     | before the node starts | spec.x    |
      | 40 levels in x      | before the node starts | spec.x    |
      | 400 digits in x     | before the node starts | spec.x    |
      | 5,000 digits in x   | before the node starts | spec.x    |
      | 5,000 digits slots  | before the node starts | slots     |
      | half a pair in x    | before the node starts | spec.x    |
      | half a pair as key  | before the node starts | spec.x    |
      | no JSON             | before the node starts | spec      |
      | port 0              | before the node starts | address   |
      | port 65536          | before the node starts | address   |
      | host 999.0.0.1      | before the node starts | address   |
      | an address and CRLF | before the node starts | address   |
      | a long state        | before the node starts | state     |
      | 100,000 levels      | while the node watches | spec      |
      | 2,000 levels in x   | while the node watches | spec.x    |
      | 300 levels in x     | while the node watches | spec.x    |
      | 40 levels in x      | while the node watches | spec.x    |
      | 400 digits in x     | while the node watches | spec.x    |
      | 5,000 digits in x   | while the node watches | spec.x    |
      | 5,000 digits slots  | while the node watches | slots     |
      | half a pair in x    | while the node watches | spec.x    |
      | half a pair as key  | while the node watches | spec.x    |
      | no JSON             | while the node watches | spec      |
      | port 0              | while the node watches | address   |
      | port 65536          | while the node watches | address   |
      | host 999.0.0.1      | while the node watches | address   |
      | an address and CRLF | while the node watches | address   |
      | a long state        | while the node watches | state     |

  Scenario Outline: an entry that can't be applied for a reason that nobody foresaw spares the others
    Given two endpoints, and an entry whose reading fails with <error>, written while the node watches
    When a third endpoint starts
    Then all three endpoints serve requests, and no other endpoint exists
    And the odd entry is logged once, and the line names <error>
    And no task has failed, and no call to the store

    Examples:
      | error          |
      | RecursionError |
      | OverflowError  |
      | KeyError       |

  Scenario Outline: entries of unusual size are applied or rejected, and spare the others
    Given two endpoints, and the odd entry <entry> that is written while the node watches
    When a third endpoint starts
    Then the third endpoint is listed, and the odd one <is>
    And no task has failed, and no call to the store

    Examples:
      | entry               | is                     |
      | 990 models          | is listed              |
      | 20,000 models       | is rejected for models |
      | 20,000 copies       | is rejected for on-disk |
      | 100,000 fields      | is rejected for bytes  |
      | a text of 900,000   | is rejected for bytes  |
      | a text of 60,000    | is listed              |
      | a name of 300       | is rejected for models |

  Scenario Outline: an odd entry that is rewritten with the same fault is logged once
    Given two endpoints, and the odd entry <entry> that is rewritten again and again
    When a third endpoint starts
    Then all three endpoints serve requests, and no other endpoint exists
    And the odd entry is logged once, and the line names <field>

    Examples:
      | entry             | field   |
      | 2,000 levels in x | spec.x  |
      | 400 digits in x   | spec.x  |
      | port 65536        | address |
      | a long state      | state   |

  Scenario Outline: the last valid entry of an endpoint stays in force beside an odd one
    Given two endpoints, and the odd entry port 0 that is written while the node watches
    When the entry <entry> is written in place of the first endpoint's, which writes its own again
    Then its endpoint is still listed, and it is listed 4 s later

    Examples:
      | entry             |
      | 2,000 levels in x |
      | 400 digits in x   |
      | port 65536        |

  Scenario Outline: a node that gets the entries from another node gets the others
    Given two endpoints, and the odd entry <entry> that is written while the node watches
    And a second node that gets the entries from it
    When a third endpoint starts
    Then the second node lists all three endpoints within 5 s, and no other

    Examples:
      | entry             |
      | 2,000 levels in x |
      | 300 levels in x   |
      | 400 digits in x   |
      | half a pair in x  |

  Scenario: thousands of odd entries stop nothing
    Given two endpoints, and 3000 odd entries of all kinds that are written while the node watches
    When a third endpoint starts
    Then all three endpoints serve requests, and no other endpoint exists
    And no task has failed, and no call to the store
    And at most 3000 lines name an odd entry, none longer than 600 characters

  Scenario Outline: an evacuation is in force whatever its value is
    Given two endpoints, and the odd evacuations z1, <value>, that is written <when>
    Then z1 is evacuated within 3 s
    And no task has failed, and no call to the store

    Examples:
      | value          | when                   |
      | 100,000 levels | before the node starts |
      | 5,000 digits   | before the node starts |
      | a list         | before the node starts |
      | no JSON        | while the node watches |
      | 100,000 levels | while the node watches |
