Feature: Adapters of one model that share few places

  Scenario Outline: operators learn what becomes of an adapter that requests wait for
    Given a lease holder over runners holding <held> of 200 GB
    When adapters of m are wanted and <then>
    Then operators are told: <told>

    Examples:
      | held       | then                       | told                                    |
      | m          | come at once               | m/a1 attached, asked for once           |
      | n          | nobody asks again          | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for once |
      | n          | are asked for twice        | m/a1 declined: its model is on no endpoint; m/a1 given up, asked for twice |
      | m          | its runner does not answer | m/a1 declined: e1: load m/a2 is under way; m/a1 given up, asked for once |
      | m+a2+a3    | take the place of another  | m/a9 left unused                        |
      | m+a2+a3    | take one that was used     | m/a9 left used                          |
