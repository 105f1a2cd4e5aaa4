Feature: How many requests of a soak are owed an answer

  Scenario Outline: requests are owed an answer but for those beyond the rates of all endpoints
    Given endpoints that work and state rates: <endpoints>
    When 10 requests a second end from second 0 to second 10
    Then <owed> of the 100 are owed an answer

    Examples: seconds of work, then seconds and requests per second of a stated rate
      | endpoints                          | owed |
      | 0-10                               | 100  |
      | 0-10 2-6@1, 0-10                   | 100  |
      | 0-10 2-6@1, 0-10 4-8@2             | 86   |
      | 0-10 2-6@1, 0-4                    | 82   |
      | 0-10 0-10@100                      | 100  |
      | 0-10 0-10@0.5                      | 5    |
      | 0-5 0-5@1, 5-10                    | 55   |
      | 0-5                                | 100  |
