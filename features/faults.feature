Feature: Guarantees hold under every fault, alone and combined

  The reducers of several nodes run against simulated endpoints under a virtual
  clock. Each row runs with steady traffic and unrepeatable calls, and checks the
  invariants that the program asserts and the end-to-end guarantees.

  Scenario Outline: <fault> for <user>
    Given a world of <user> with 3 nodes and seed <seed>
    When traffic runs while <fault>
    Then every guarantee held
    And at least <least> in 100 requests were served in time
    And every declared model is reachable at the end

    Examples:
      | user     | seed | fault                                                  | least |
      | fjordlap | 1    | nothing fails                                          | 99    |
      | fjordlap | 2    | the lease holder is killed                             | 90    |
      | fjordlap | 3    | the lease holder is paused past its lease              | 60    |
      | fjordlap | 4    | a runner dies                                          | 85    |
      | fjordlap | 5    | a runner dies and comes back                           | 85    |
      | fjordlap | 6    | a runner is leaving                                    | 95    |
      | fjordlap | 7    | a node is drained                                      | 95    |
      | fjordlap | 8    | the platform is down                                   | 95    |
      | fjordlap | 9    | the platform applies writes without answering          | 95    |
      | fjordlap | 10   | orders are lost                                        | 95    |
      | fjordlap | 11   | orders are late and doubled                            | 95    |
      | fjordlap | 12   | reports lag                                            | 90    |
      | fjordlap | 13   | two nodes are cut off from each other                  | 95    |
      | fjordlap | 14   | a service breaks answers                               | 80    |
      | fjordlap | 15   | operators change versions                              | 95    |
      | fjordlap | 16   | the platform is down, the lease holder is killed       | 85    |
      | fjordlap | 17   | orders are late and doubled, the lease holder is paused past its lease | 55 |
      | fjordlap | 18   | operators change versions, orders are lost, the lease holder is killed | 80 |
      | kiosk    | 19   | operators change versions, orders are late and doubled | 90    |
      | kiosk    | 20   | a data centre's runners die                            | 60    |
      | kiosk    | 21   | all nodes are replaced one after another               | 90    |
      | kiosk    | 22   | a service breaks answers, a node is drained            | 75    |
      | kiosk    | 23   | a runner dies and comes back, the platform is down     | 80    |

  Scenario Outline: a new lease holder waits for reports before it checks memory
    Given a world of <user> with 3 nodes and seed <seed>
    Then no model was ever refused for lack of memory

    Examples:
      | user     | seed |
      | fjordlap | 1    |
      | kiosk    | 1    |

  Scenario: a request without a route waits while a runner leaves
    Given a world of fjordlap with 3 nodes and seed 1312
    When traffic runs for 30 s by seed 1312 while a runner is leaving, orders are late and doubled, a runner is leaving, a runner dies
    Then every guarantee held

  Scenario: random combinations of faults
    Then random runs of faults violate no guarantee
