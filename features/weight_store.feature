Feature: Loads from the weight store stay within the platform's limit at every rate

  # Guards against more loads from the weight store within five seconds than the platform allows, which
  # happened at rates above six a second: the unused tokens of a whole second were kept, and spent in addition
  # to those of the five seconds.

  Scenario Outline: no window of five seconds has more loads than the limit
    Given a weight store of <rate> loads a second
    When the lease holder starts as many loads as it may, at times drawn with 20 seeds, with pauses
    Then no 5 s have more loads than 1.1 times the rate plus 3
    And in total it uses at least <share> of the rate while loads wait

    Examples:
      | rate | share |
      | 0.5  | 0.95  |
      | 1.4  | 0.95  |
      | 2.1  | 0.95  |
      | 6    | 0.95  |
      | 8.5  | 0.95  |
      | 34   | 0.95  |
      | 300  | 0.95  |
