Feature: Loads from the weight store stay within its ceiling at every rate

  # Guards against more loads from the weight store within five seconds than the platform allows where its
  # rate is above six a second: what had not been used of a whole second's rate was kept for later, and spent
  # on top of what five seconds bring.

  Scenario Outline: no five seconds see more loads than the ceiling
    Given a weight store of <rate> loads a second
    When the lease holder takes all that it may, at moments drawn by 20 seeds, after pauses
    Then no 5 s see more than 1.1 times the rate and 3 loads beside
    And over all it takes at least <share> of the rate while loads wait

    Examples:
      | rate | share |
      | 0.5  | 0.95  |
      | 1.4  | 0.95  |
      | 2.1  | 0.95  |
      | 6    | 0.95  |
      | 8.5  | 0.95  |
      | 34   | 0.95  |
      | 300  | 0.95  |
