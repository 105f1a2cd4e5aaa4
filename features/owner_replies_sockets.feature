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

  # Guards against a stream's rest that is refused as no owner knows which version began it, though
  # they do: they did not as they were asked before.
  Scenario Outline: a late reply on a stream's begin does not answer the next question
    When a node asks its owners which version began a stream, and again <when> it got no reply in time
    And their replies to the first, <old>, come before those to the second, <new>
    Then the second question's answer is <answer>

    Examples:
      | when               | old     | new     | answer  |
      | at once as         | unknown | v1      | v1      |
      | at once as         | v1      | unknown | v1      |
      | at once as         | unknown | unknown | unknown |
      | some time after    | unknown | v1      | v1      |

  Scenario: a node that got no reply at all asks for no longer than usual
    When a node asks its owners which version began a stream, and again at once as it got no reply in time
    And their replies to the second, unknown, are the only ones
    Then the second question's answer is unknown
