@relay
Feature: Large sound answers wait at their endpoints while a node has no room for them

  # Guards against answers that are given up where their endpoints could have been held back.
  Scenario Outline: large answers that don't fit at once are all whole, one after the other
    Given a node process of 160 MB between two endpoints with answers of 8 MiB
    When it gets <many> requests for these at once
    Then all <many> answers are whole, and none came later than its deadline
    And its process took 120 MiB at most

    Examples:
      | many |
      | 4    |
      | 16   |
      | 32   |

  # Guards against faulty endpoints that hold the room that sound answers wait for.
  Scenario Outline: large answers that wait for room are whole beside a flood
    Given a node process of 160 MB between two endpoints with answers of 8 MiB, and two that do: <script>
    When it gets 8 requests for these at once
    Then all 8 answers are whole, and none came later than its deadline
    And its process took 120 MiB at most

    Examples:
      | script             |
      | body without end   |
      | length without end |
      | event without end  |
      | stalled answer     |
