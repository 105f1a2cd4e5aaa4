@relay
Feature: Late replies of owners, between sockets

  # Guards against a reply to a node's earlier life that decides on a request of its next one.

  Scenario Outline: a late reply to a request of a node's earlier life decides on none of the next one
    When a node asks for <what> and restarts, and the reply, <old>, comes as it has asked again, before the one to that, <new>
    Then the request's answer is <answer>
    And the owner is told of <unused> slots that were not used

    Examples:
      | what   | old     | new     | answer | unused |
      | slots  | denied  | granted | 200    | 0      |
      | slots  | granted | denied  | 503    | 1      |
      | slots  | denied  | denied  | 503    | 0      |
      | units  | granted | denied  | 429    | 0      |
      | units  | denied  | granted | 200    | 0      |

  Scenario: keys of requests differ between lives of a node
    Then two processes give their first requests keys that differ

  # Guards against a reply to an earlier question of a request that decides on a later one.
  Scenario Outline: a late reply to a request's first question does not decide once it has asked again
    When a node asks for slots, sends without one, is refused and asks again, and the reply to the first, <old>, comes before the one to the second, <new>
    Then the request's answer is <answer>
    And the owner is told of <unused> slots that were not used
    And no slot of a run is returned before the run has ended

    Examples:
      | old     | new     | answer | unused |
      | denied  | granted | 200    | 0      |
      | granted | denied  | 503    | 1      |
      | granted | granted | 200    | 1      |
      | denied  | denied  | 503    | 0      |
