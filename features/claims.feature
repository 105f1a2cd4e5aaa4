Feature: Models without a replica claim runners, so that what is missed most is loaded first

  # Guards against a model that is put off from one busy runner to the next.
  # The models are those of swapping.feature: m 70 GB, n, o and p 60 GB, big 150 GB; 200 GB a runner.

  Scenario Outline: a plan has each missed model claim a runner
    Given runners <runners>
    And the placement policy "claim"
    When a plan is made for demand <demand>
    Then the moves are <moves>
    And the claims are <claims>

    Examples: a runner is claimed by one model, the one that is missed most
      | runners                                             | demand                     | moves | claims     |
      | e1[m,n; disk o,p; busy 1] e2[m,n; disk o,p; busy 2] | o 900, p 500, m 3000~, n 3000~ | none | o e1, p e2 |
      | e1[m,n; disk o,p; busy 1] e2[m,n; disk o,p; busy 2] | o 500, p 900, m 3000~, n 3000~ | none | p e1, o e2 |
      | e1[m,n; disk o,p; busy 1]                           | o 500, p 900, m 3000~, n 3000~ | none | p e1       |

    Examples: a model waits for a busy runner only where that is sooner than what can begin now
      | runners                                  | demand                 | moves     | claims |
      | e1[m,n; disk o; busy 1] e2[m,n]          | o 900, m 3000~, n 3000~ | none      | o e1   |
      | e1[m,n; disk o; busy 9] e2[m,n]          | o 900, m 3000~, n 3000~ | load o e2 | o e2   |
      | e1[m,n; disk o; busy] e2[m,n]            | o 900, m 3000~, n 3000~ | load o e2 | o e2   |

    Examples: a claim stays, unless another runner can begin now or is clearly better
      | runners                                                    | demand                 | moves     | claims |
      | e1[m,n; disk o; busy 2; claim o] e2[m,n; disk o; busy 1.5] | o 900, m 3000~, n 3000~ | none      | o e1   |
      | e1[m,n; disk o; busy 2; claim o] e2[m,n; disk o; busy 0.5] | o 900, m 3000~, n 3000~ | none      | o e2   |
      | e1[m,n; disk o; busy 2; claim o] e2[m,n; disk o]           | o 900, m 3000~, n 3000~ | load o e2 | o e2   |
      | e1[m,n; disk o; busy; claim o] e2[m,n; disk o; busy 2]     | o 900, m 3000~, n 3000~ | none      | o e2   |

    Examples: room that is being freed for a model is not given up for a little time
      | runners                                                            | demand                 | moves     | claims |
      | e1[m,n; disk o; busy 0.9; claim o; room o] e2[m,n; disk o]         | o 900, m 3000~, n 3000~ | none      | o e1   |
      | e1[m,n; disk o; busy 2.9; claim o; room o] e2[m,n; disk o]         | o 900, m 3000~, n 3000~ | load o e2 | o e2   |
      | e1[big; disk o; busy 1; claim o; room o; freeing 70]               | o 900, big 3000~        | none      | o e1   |
      | e1[big; disk o; busy 1; claim o; room o]                           | o 900, big 9000~        | none      | none   |

    Examples: a model that is missed twice as much takes another one's runner, or its room
      | runners                                     | demand                         | moves     | claims |
      | e1[m,n; disk o,p; busy 2; claim o]          | o 300, p 500, m 3000~, n 3000~ | none      | o e1   |
      | e1[m,n; disk o,p; busy 2; claim o]          | o 300, p 700, m 3000~, n 3000~ | none      | p e1   |
      | e1[m,n; disk o,p; room o]                   | o 300, p 500, m 3000~, n 3000~ | load o e1 | o e1   |
      | e1[m,n; disk o,p; room o]                   | o 300, p 700, m 3000~, n 3000~ | load p e1 | p e1   |
      | e1[m,n; disk o,p; room o] e2[m,n; busy 1; disk o] | o 300, p 700, m 3000~, n 3000~ | load p e1 | p e1, o e2 |

    Examples: room that was freed for a further replica goes to a model without one, if that is missed more
      | runners                                       | demand                           | moves     | claims |
      | e1[m,n; disk o,p; room o] e2[o,m,n; busy 9]   | o 5000~, p 900, m 3000~, n 3000~ | load o e1 | p e2   |
      | e1[m,n; disk o,p; room o] e2[o,m,n; busy 9]   | o 5000~, p 9000, m 3000~, n 3000~ | load p e1 | p e1   |

    Examples: the load that room was freed for counts in the wait
      | runners                                                                   | demand                           | moves | claims |
      | e1[n; disk o,p; busy 1; room o] e2[o,m,n; busy 9] e3[m,n; disk p; busy 2] | o 5000~, p 900, m 3000~, n 3000~ | none  | p e3   |
      | e1[n; disk o,p; busy 1] e2[o,m,n; busy 9] e3[m,n; disk p; busy 2]         | o 5000~, p 900, m 3000~, n 3000~ | none  | p e1   |

    Examples: nothing else is planned at a claimed runner, and freed room that nobody misses stays free
      | runners                                                | demand                           | moves     | claims |
      | e1[n; disk o,p; room o] e2[o,m,n; busy 9] e3[m,n] | o 5000~, p 900, m 3000~, n 3000~ | load o e1 | p e1   |
      | e1[m,n; disk o; room o] e2[o,m,n; busy 9]              | o 2000~, m 3000~, n 3000~        | none      | none   |

  Scenario Outline: a model whose refusals brought it replicas gives one to a model that is refused now
    Given runners e1[m,o,p; kept o,p] e2[m,o,p; kept o,p] e3[m,o,p; kept o,p] e4[n,o,p; kept o,p]
    And the placement policy "<policy>"
    When a plan is made for demand m 3000!1500, n 8000!4000, o 100~, p 100~
    Then the moves are <moves>

    Examples:
      | policy | moves       |
      | claim  | unload m e1 |
      | swap   | unload m e1 |

  Scenario Outline: the load of the hottest model begins with the first runner that is free
    Given runners that all free room for rarely requested models, by policy <policy>
    When the hottest model loses all of its replicas
    Then its load begins at the first plan after a runner is free: <at once>

    # An unload takes 0.7 s, and plans are 0.5 s apart.
    Examples:
      | policy | at once |
      | claim  | yes     |
      | swap   | no      |

  Scenario: a rarely requested model is loaded in time while demand for others comes and goes
    Given simulations of 14 models with room for 10 under the policy "claim"
    When each is run for 90 s
    # An unload and a load from the store take 9 s; the rest is until its aged demand suffices.
    Then no model had six or more requests without a replica over more than 15 s
    And each model was resident at some time
    And no runner was claimed by two models at once
    And no claim of a model that was missed moved more than 3 times

  Scenario: with the default options the plans are as before
    Given simulations under the default policy
    When their plans are recorded for 60 s
    Then the records are
      | seed | late | moves | digest           |
      | 1    | 0    | 96    | 75324659776fbf86 |
      | 2    | 0.3  | 75    | 77d12c4a266ae200 |
      | 3    | 0.3  | 82    | 8970c30910683b22 |

  Scenario: the other nodes learn when a claimed model is expected
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and their loads end
    Then z claims a runner, which the log says
    And the nodes learn when z is expected once no load is under way there
    And they learn it again only when it has moved by more than 0.5 s

  Scenario: a claim behind another model's load is shared again once that load has ended
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and their loads end
    And x is loaded at the claimed runner before z
    Then the nodes learn again when z is expected, though that has not moved

  Scenario: a load that the weight store's limit refuses is not announced
    Given a lease holder with claims, whose runners have room for z but no copy of it
    When z is requested, while the limit refuses its load for 3 s
    Then z claims a runner, and the nodes expect it only once its load is ordered

  Scenario: a load that was expected and whose order is refused is taken back
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and their loads end
    And the claimed runner refuses the order to load z
    Then a plan that claims no runner for z takes it back, one that claims the same does not

  Scenario: a claim ends with its runner, and the nodes learn that
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and their loads end
    And the claimed runner is down
    Then the log says that the claim was dropped, and the nodes do not expect z there

  Scenario: a claim that is kept beyond its expected time is logged once
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and its runner's load takes 2 s longer than predicted
    Then the log says once that the claim is late

  Scenario: a new lease holder begins without claims, and makes the same ones
    Given a lease holder with claims, whose runners are loading x and y
    When z is requested, and a new epoch begins
    Then there are no claims at first, and z claims the same runner within 2 s

  Scenario: a plan with claims takes no longer than one without
    Given 126 models over 45 runners, a fifth of them empty, half busy
    Then a plan with claims takes less than 1.0 times as long as one by "swap"

  Scenario Outline: claims are used where the contracts in force name competing callers
    Given a settings file of the platform
    When its field contracts is <contracts>
    Then models are placed by the policy "<policy>"

    Examples:
      | contracts     | policy |
      | pool          | swap   |
      | pressure,pool | claim  |
      | pressure      | claim  |
      | missing       | swap   |
