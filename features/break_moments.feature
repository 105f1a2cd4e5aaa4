@core
Feature: What one node sees break off at an endpoint tells others of ends there at that moment

  # An answer of this node's ended with its connection at 10 s. Times are in seconds.
  Scenario Outline: a moment that another node told is that of an end of this node's
    Given another node's message, at <told>, that an endpoint broke an answer off <age> s before
    Then it <shows> that the answer broke off elsewhere

    Examples:
      | told  | age  | shows        |
      | 10.0  | 0.0  | shows        |
      | 10.05 | 0.05 | shows        |
      | 9.99  | 0.0  | shows        |
      | 9.97  | 0.0  | doesn't show |
      | 10.07 | 0.0  | shows        |
      | 10.09 | 0.0  | doesn't show |
      | 10.09 | 0.05 | shows        |

  Scenario: what this node saw itself is no sign from elsewhere
    Given this node saw an endpoint break an answer off at 10 s
    Then it doesn't show that the answer broke off elsewhere

  Scenario: what broke off at another endpoint says nothing
    Given another node's message, at 10 s, that another endpoint broke an answer off
    Then it doesn't show that the answer broke off elsewhere

  Scenario Outline: how what is seen elsewhere is weighed
    When an endpoint closes an answer's connection and what is seen is: <seen>
    Then its end is <verdict>

    Examples:
      | seen                                     | verdict |
      | lives, broke_elsewhere                   | doubted |
      | lives, worked, broke_elsewhere           | likely  |
      | lives, worked, broke, broke_elsewhere    | doubted |
      | lives, stopping, broke_elsewhere         | likely  |
      | lives, stopping, broke, broke_elsewhere  | doubted |
      | lives, worked, stopping, broke_elsewhere | likely  |

  Scenario Outline: which ends other nodes are told of as a stop
    When what is seen of the moment of a close is: <seen>
    Then the other nodes <told> told of it

    Examples:
      | seen                     | told    |
      | nothing                  | are not |
      | closed                   | are     |
      | closed, worked           | are not |
      | closed, broke            | are not |
      | worked                   | are not |

  Scenario Outline: a moment is told once
    Given an endpoint breaks answers off, as seen here or told by another node at: <moments>
    Then the others are told of: <told>

    Examples:
      | moments                                    | told                         |
      | 10.0                                       | 10.0                         |
      | 10.0, 10.0, 10.01                          | 10.0                         |
      | 10.0, 10.05                                | 10.0, 10.05                  |
      | 10.0, other 10.0                           | 10.0                         |
      | 10.0, other 10.07                          | 10.0                         |
      | other 10.0                                 | other 10.0                   |
      | other 10.0, other 10.01, 10.0              | other 10.0                   |
      | other 10.05, 10.0                          | other 10.05                  |
      | other 10.0, 10.3                           | other 10.0, 10.3             |
      | 10.0, 10.2, 10.4, 10.6, 10.8, 10.9         | 10.0, 10.2, 10.4, 10.6       |
      | 10.0, 10.2, 10.4, 10.6, 10.8, 11.1         | 10.0, 10.2, 10.4, 10.6, 11.1 |

  Scenario: what is kept of moments is bounded
    Given an endpoint breaks 1000 answers off within 0.9 s, as other nodes tell
    Then at most 16 moments of it are kept, and none once another breaks off 2 s later

  Scenario Outline: a node tells the others of an endpoint that it knows
    Given a relaying node with the endpoint e1
    When <what> breaks off there at <endpoint>
    Then the others are told: <told>

    Examples:
      | what                         | endpoint | told      |
      | an answer of its own         | e1       | e1        |
      | as n2 tells, an answer       | e1       | e1 but n2 |
      | an answer of its own         | e2       | nothing   |
      | as n2 tells, an answer       | e2       | nothing   |
