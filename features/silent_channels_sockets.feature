@relay
Feature: Open connections that go silent for good, without a reset, while new ones work

  Scenario Outline: a configuration is in force in time although the connections to the store are silent
    Given <nodes> linked nodes, whose store they reach through a proxy
    When the open connections to the store go silent <before> s before a configuration is written
    Then each node has it within 2 s of the write, or 3 s of the silence if that is later

    Examples:
      | nodes | before |
      | 1     | 0.0    |
      | 1     | 0.5    |
      | 3     | 0.9    |

  Scenario Outline: an endpoint's notice is known in time although the connections to the store are silent
    Given <nodes> linked nodes, whose store they reach through a proxy
    When the open connections to the store go silent <before> s before an endpoint's notice is written
    Then each node knows it within 2 s of the write, or 3 s of the silence if that is later

    Examples:
      | nodes | before |
      | 1     | 0.0    |
      | 3     | 0.5    |

  Scenario Outline: a call to the store goes by a new connection, as the open ones may be silent
    Given a client of the store that has made 2 calls
    When its open connections go silent while <what> is under way
    Then a <call> is answered within 0.7 s

    Examples:
      | what    | call            |
      | no call | read            |
      | no call | watch           |
      | no call | watch sent anew |
      | a watch | read            |
      | a watch | watch           |
      | a watch | watch sent anew |

  Scenario: a store that answers a watch late is not taken to be silent
    Given 1 linked nodes, whose store they reach through a proxy
    When the store answers each call 0.6 s late for 6 s
    Then each node's watches are answered, and none takes the store to be down

  Scenario Outline: nodes whose links went silent hear each other again
    Given <nodes> linked nodes, whose store they reach through a proxy
    When the links between them go silent
    Then within 3 s each node hears all others again, and took none to be gone

    Examples:
      | nodes |
      | 2     |
      | 5     |

  Scenario: a node that stood still for 2 s keeps its links
    Given 3 linked nodes, whose store they reach through a proxy
    When all of them stand still for 2 s
    Then their links are the same 2 s later
