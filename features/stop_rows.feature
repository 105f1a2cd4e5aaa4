@relay
Feature: Planned stops of nodes as processes, whose callers ask on until they are gone

  Scenario Outline: no request goes without an answer that it is owed
    Given <nodes> nodes as processes with a grace period of 4 s, whose endpoints take up to 12 s
    When <stopped> of them are stopped at once, <trouble>
    Then each that was stopped ended in time
    And each request was answered, or crossed the close of its connection and didn't run
    And no refusal is of a request that ran
    And each stream is whole, or is longer than the grace period

    Examples:
      | nodes | stopped | trouble                                           |
      | 2     | 1       | in calm                                           |
      | 2     | 1       | without a way to endpoints, while the store fails |
      | 3     | 2       | as an endpoint leaves and another is killed       |

  Scenario: no sound stream that ends with its connection is cut as a node stops
    Given 2 nodes as processes with a grace period of 4 s, whose endpoints take up to 12 s
    When 1 of them are stopped at once, whose endpoints end half of their streams with their connection
    Then each that was stopped ended in time
    And each request was answered, or crossed the close of its connection and didn't run
    And no refusal is of a request that ran
    And some streams ended with their connection
    And each stream is whole, or is longer than the grace period
