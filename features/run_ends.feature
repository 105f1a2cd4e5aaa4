Feature: Whether a run has ended, by reports that list the runs

  # Reports tell how things stood up to 1 s earlier.
  Scenario Outline: what a report shows of a run whose connection was closed
    Given a run whose answer began at <began> s and was closed at 5 s, with <came> events
    When a report that was asked for at <asked> s lists <listed>
    Then the run is shown to be <end>

    Examples:
      | began | came    | asked | listed  | end     |
      | 2     | 3       | 5     | nothing | ended   |
      | 2     | 3       | 5     | others  | ended   |
      | 4.5   | 3       | 5     | others  | unclear |
      | 4.5   | 3       | 5.5   | others  | ended   |
      | 2     | 3       | 5     | 3       | unclear |
      | 2     | 3       | 5.9   | 3       | unclear |
      | 2     | 3       | 6     | 3       | cut     |
      | 2     | 3       | 6     | 1       | cut     |
      | 2     | 3       | 6     | others  | ended   |
      | 2     | 3       | 5     | 4       | cut     |
      | 2     | unknown | 5     | 9       | unclear |
      | 2     | unknown | 6     | 9       | cut     |

  Scenario Outline: a run that can't be read leaves the others of a report in force
    Given a report whose runs are <runs>
    Then its runs are read as <read>

    Examples:
      | runs                                              | read                |
      | absent                                            | nothing             |
      | null                                              | nothing             |
      | {"a": 4}                                          | nothing             |
      | 7                                                 | nothing             |
      | []                                                | {}                  |
      | [["a", 300, 4, 5]]                                | {"a": 4}            |
      | [["a", 300, 4, 5], ["b", 0, 0, 9]]                | {"a": 4, "b": 0}    |
      | [7, null, ["b"], ["c", 1, -2], ["a", 300, 4, 5]]  | {"a": 4}            |
      | [["c", 1, "2", 5], [3, 1, 2, 5], ["a", null, 4]]  | {"a": 4}            |
