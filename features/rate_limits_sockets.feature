@relay
Feature: What an endpoint names as requests a second holds from the next request on

  # The story and the evidence stand in rate_limits.feature. Here: between sockets, one node, whose plain
  # service's endpoint names a rate in each of its answers.

  Scenario Outline: a rate that the head of an answer names holds for the next request
    Given a relay node with one endpoint that does: <script>
    When the endpoint's answers say <line>
    And a caller sends a <kind> request
    And a caller sends 6 unsafe requests on one connection
    Then each is refused at once as not run, with a time to come back
    And the first endpoint got 1 in all
    When another endpoint joins
    And a caller sends 6 unsafe requests on one connection
    Then the other endpoint answers each
    And the first endpoint got 1 in all

    Examples:
      | kind   | script        | line              |
      | unsafe | answer        | Server-Limit: 0.5 |
      | unsafe | fail          | Server-Limit: 0.5 |
      | unsafe | half          | Server-Limit: 0.5 |
      | unsafe | unframed      | Server-Limit: 0.5 |
      | stream | stream        | Server-Limit: 0.5 |
      | stream | break after 3 | Server-Limit: 0.5 |
      | unsafe | answer        | Server-Limit: 0   |

  Scenario: an endpoint that names a rate gets what it names, and no more
    Given a relay node with one endpoint that does: answer
    When the endpoint's answers say Server-Limit: 2
    And a caller sends a unsafe request every 40 ms for 6 s
    Then the first endpoint got 7 to 14 in all
    And who was refused was told so at once

  Scenario: a rate ends with the first answer that names none
    Given a relay node with one endpoint that does: answer
    When the endpoint's answers say Server-Limit: 2
    And a caller sends a unsafe request every 40 ms for 3 s
    And its answers name no rate any more
    And a caller sends a unsafe request every 40 ms for 2 s
    And a caller sends 6 unsafe requests on one connection
    Then the first endpoint answers each

  Scenario: what was decided before the rate was named is held before its first byte
    Given a relay node with one endpoint that does: answer
    When a request waits for its connection, and the endpoint says Server-Limit: 0.5 meanwhile
    Then that request was not sent, and its caller is told so

  Scenario Outline: what is no rate
    Given a relay node with one endpoint that does: answer
    When the endpoint's answers say <line>
    And a caller sends a unsafe request
    And a caller sends 6 unsafe requests on one connection
    Then the first endpoint answers each

    Examples:
      | line              |
      | Server-Limit: 1e9 |
      | Server-Limit: inf |
      | Server-Limit: -1  |
      | Server-Limit: few |
