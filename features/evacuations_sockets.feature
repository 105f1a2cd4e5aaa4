@relay
Feature: A node over sockets sends nothing to the endpoints of a data centre that is evacuated

  # Guards against requests that reach a runner although the platform's store has asked for seconds
  # that nothing more be sent to its data centre.

  Scenario: an evacuated data centre gets nothing, until the evacuation is taken back
    Given a relay node with endpoints in the data centres z1 and z2
    When the data centre z1 is evacuated
    Then within 1 s no request goes to z1, and all are answered
    When the evacuation of z1 is taken back
    Then within 1 s requests go to z1 again

  Scenario: requests are refused as not run while all data centres are evacuated
    Given a relay node with endpoints in the data centres z1 and z2
    When the data centre z1 is evacuated
    And the data centre z2 is evacuated
    Then within 1 s each request is refused as not run
    When the evacuation of z2 is taken back
    Then within 1 s no request goes to z1, and all are answered

  Scenario: a request that runs when the evacuation begins ends by itself
    Given a relay node with endpoints in the data centres z1 and z2
    When a request runs in z1, and the data centre z1 is evacuated meanwhile
    Then it is answered

  Scenario Outline: an evacuation stays in force when <what>
    Given a relay node with endpoints in the data centres z1 and z2
    When the data centre z1 is evacuated
    And <what>
    Then within <seconds> s no request goes to z1, and all are answered

    Examples:
      | what                                 | seconds |
      | the node starts anew                 | 0.5     |
      | the node loses its calls to the store for 1 s | 1 |
      | the store forgets its history        | 1       |

  Scenario: a linked node tells of an evacuation that this node can't read
    Given a relay node with endpoints in the data centres z1 and z2
    And a second node that the store doesn't answer
    When the data centre z1 is evacuated
    Then within 1 s the second node sends nothing to z1
    When the evacuation of z1 is taken back
    Then within 1 s the second node may send to z1

  Scenario: the store has come back from a copy that lacks the evacuation
    Given a relay node with endpoints in the data centres z1 and z2
    And a copy of the store is made
    When the data centre z1 is evacuated
    And the store is restored from that copy
    Then for 2 s no request goes to z1, and all are answered
    And within 3 s requests go to z1 again

  Scenario: the operator writes the evacuation again after the store came back
    Given a relay node with endpoints in the data centres z1 and z2
    And a copy of the store is made
    When the data centre z1 is evacuated
    And the store is restored from that copy
    And the data centre z1 is evacuated
    Then for 4 s no request goes to z1, and all are answered

  Scenario Outline: the store is called for evacuations only where the settings state a bound
    Given a relay node whose settings state a bound of <bound> s for evacuations
    Then it <calls> the store for evacuations

    Examples:
      | bound | calls         |
      | 0     | does not call |
      | 5     | calls         |

  Scenario: a node lists the evacuations again if a bound is stated later
    Given a relay node whose settings state a bound of 0 s for evacuations
    When the data centre z1 is evacuated
    And the settings state a bound of 5 s instead
    Then within 3 s no request goes to z1, and all are answered

  Scenario: operators see which data centres are evacuated
    Given a relay node with endpoints in the data centres z1 and z2
    When the data centre z1 is evacuated
    Then within 1 s the metric of evacuated data centres is 1
    And one line of the log tells that z1 is evacuated
