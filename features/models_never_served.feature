Feature: A model that is asked for through the day is served, whoever plans

  # Guards against models that were loaded after the last of their callers, again and again, and never served.

  Scenario Outline: models that are requested now and then are served beside hot ones
    Given 8 runners with 24 places for 30 models, 4 of them hot, and <fault>
    When they are requested for 45 s, with seeds 1 to 6
    Then each that was requested four times over 8 s was served at least once
    And no model had four requests in a row without an answer over more than 30 s
    And at least <rare> in 100 requests for the other models were served, and 95 in 100 for the hot ones

    # Callers have two tries: where each is served at its second one, half of the requests are. With an
    # eighth of the runners gone and no orders for half of the time, two thirds of that.
    Examples:
      | fault                                              | rare |
      | no fault                                           | 50   |
      | a sixth of the orders carried out late             | 50   |
      | a lease that moves every 12 s                      | 50   |
      | a runner that is lost, and a lease that moves every 12 s | 33 |

  # Guards against runners and places that are taken by loads whose callers are all gone.

  Scenario: no model that loads quickly is loaded after the last of its callers is gone
    Given 8 runners with 24 places for 30 models, 4 of them hot, and no fault
    When they are requested for 45 s, with seeds 1 to 4
    Then at most 2 in 100 first loads began over 1.5 s after the last caller was there or due
    And at least 20 in 100 requests for the other models were served, and 95 in 100 for the hot ones
