Feature: Whom nobody served is told from the nodes' logs, by name, by last shared part and by kind

  Scenario Outline: what is asked for throughout and never answered counts, beside what is allowed
    Given <asked> <things> asked for by <callers> callers each over <span> s, <never> of them never answered
    When the never served in the log are reported
    Then the report says "<title>"

    # A tenth of names and one more are allowed, four in a hundred last shared parts and two more.
    Examples:
      | asked | things | callers | span | never | title                                                                           |
      | 20    | names  | 4       | 9    | 3     | names: 3 of 20 asked for throughout never served (at most 3.0)                  |
      | 20    | names  | 4       | 9    | 4     | names: 4 of 20 asked for throughout never served (at most 3.0), BROKEN          |
      | 20    | names  | 3       | 9    | 4     | names: 0 of 0 asked for throughout never served (at most 1.0)                   |
      | 20    | names  | 4       | 7    | 4     | names: 0 of 0 asked for throughout never served (at most 1.0)                   |
      | 50    | parts  | 4       | 9    | 4     | last shared parts: 4 of 50 asked for throughout never served (at most 4.0)      |
      | 50    | parts  | 4       | 9    | 5     | last shared parts: 5 of 50 asked for throughout never served (at most 4.0), BROKEN |

  Scenario: a caller who comes back is one caller
    Given 20 names asked for by 2 callers each over 9 s who come twice, 4 of them never answered
    When the never served in the log are reported
    Then the report says "names: 0 of 0 asked for throughout never served (at most 1.0)"

  Scenario: as many as chance would leave out are allowed three times over
    Given 10 names asked for by 4 callers each over 9 s, 6 of them never answered
    When the never served in the log are reported
    Then the report says "names: 6 of 10 asked for throughout never served (at most 3.9), BROKEN"

  Scenario Outline: a kind of request is starved if it is served less than a quarter as often as all
    Given 100 answered requests of one kind, and 100 of another with <answered> answered
    When the never served in the log are reported
    Then the other kind is <verdict>

    Examples:
      | answered | verdict     |
      | 10       | starved     |
      | 20       | not starved |

  Scenario: who came back in vain is counted by what was said, and so is who was passed by later callers
    Given a caller who was refused twice, while one who came later was answered
    When the never served in the log are reported
    Then one caller of its kind was refused again, told 2 s, and passed
