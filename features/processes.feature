@relay
Feature: Real node processes keep their guarantees under signals, changes and endpoints' notices

  Scenario Outline: a short soak of real processes
    Given <nodes> nodes as processes, <callers> callers on persistent connections, and seed <seed>
    When troubles are drawn for <seconds> s, one after another and overlapping
    Then no guarantee is violated
    And most requests that endpoints' rates allow were answered
    And some whole answers ended with their connection
    And each of them was delivered as whole

    Examples: longer runs are started by hand
      | nodes | callers | seed | seconds |
      | 3     | 8       | 1    | 20      |
      | 4     | 6       | 2    | 15      |

  Scenario Outline: a short soak of real processes with streams of two software versions
    Given <nodes> nodes as processes, <callers> callers whose streams go on elsewhere, and seed <seed>
    When troubles are drawn for <seconds> s, one after another and overlapping
    Then no guarantee is violated

    Examples: longer runs are started by hand
      | nodes | callers | seed | seconds |
      | 4     | 6       | 4    | 20      |

  Scenario Outline: a short soak of real processes whose callers need keys
    Given <nodes> nodes as processes, <callers> callers with keys, and seed <seed>
    When troubles are drawn for <seconds> s, one after another and overlapping
    Then no guarantee is violated
    And most requests that endpoints' rates allow were answered
    And some whole answers ended with their connection
    And each of them was delivered as whole

    Examples: longer runs are started by hand
      | nodes | callers | seed | seconds |
      | 3     | 8       | 3    | 15      |

  Scenario: a failed check of a soak is traced in what it prints, and its logs are kept
    Given 2 nodes as processes, 2 callers whose streams go on elsewhere, and seed 5
    And endpoints that write events of two versions into each stream
    When troubles are drawn for 2 s, one after another and overlapping
    Then a failure of one version comes with the sends of its requests and their runs at endpoints
    And a folder has the nodes' logs and one of all in the order of time
