@relay
Feature: An era of the store that other nodes claim

  # Guards against a claim that nothing ends, and against old answers that end a true one.

  Scenario Outline: what an answer of the store says about a claim
    Given a node to which the store has named era <named>, and which hears another claim era <claimed>
    When answers to calls that began <asked> s after the claim name the eras <eras>
    Then that claim <holds>

    Examples: the store answers linearizably, and its eras only rise
      | named | claimed | asked         | eras    | holds |
      | 0     | 1       | 0.9 1.1       | 0 0     | ends  |
      | 0     | 1       | 1.0 1.0       | 0 0     | ends  |
      | 0     | 1       | 1.1           | 0       | holds |
      | 0     | 1       | 0.1 0.9       | 0 0     | holds |
      | 0     | 1       | -0.1 -0.1 1.1 | 0 0 0   | holds |
      | 0     | 1       | 0.5 1.1       | 1 0     | holds |
      | 0     | 3       | 0.5 1.1       | 2 1     | holds |
      | 0     | 3       | 0.5 1.1       | 2 2     | ends  |
      | 2     | 3       | 0.5 1.1 1.2   | 1 1 1   | holds |

  Scenario Outline: a denied claim that another node repeats
    Given a node to which the store has named era 0, and which hears another claim era 1
    When answers to calls that began 0.5 1.1 s after the claim name the eras 0 0
    And the store's latest answer of era 0 is to a call that began <latest> s after the claim
    Then a claim of era <claimed> that is heard <heard> s after the first is <taken>

    Examples:
      | latest | claimed | heard | taken     |
      | 1.1    | 1       | 1.3   | not taken |
      | 1.1    | 2       | 1.3   | taken     |
      | 1.1    | 1       | 31.0  | not taken |
      | 1.1    | 1       | 31.2  | taken     |
      | 20.0   | 1       | 31.2  | not taken |
      | 20.0   | 1       | 50.1  | taken     |

  Scenario: a node whose holder's lease a claim concerns goes on holding it in the same epoch
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When another node claims era 1 of the store for 3 s, five times a second
    Then it is in era 0 and holds the lease in the same epoch
    And the claim was taken once, and denied once
    And the store has no lease object of era 1

  Scenario: a node takes a claim while the store does not answer it, until it does
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store is away for 2 s in which another node claims era 1
    Then within 3 s it is in era 0

  Scenario: a claim that the store confirms stays
    Given a relay node with one endpoint that does: answer
    And it holds the lease, and the store is copied before that
    When the store is restored from the copy, and another node claims its era from before that for 3 s
    Then it is in era 1 and holds the lease in the same epoch
    And no claim was denied
