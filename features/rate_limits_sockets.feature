@relay
Feature: A rate limit in an endpoint's response applies from the next request on

  # rate_limits.feature describes the failure and its evidence. These scenarios use sockets: one node,
  # and a plain service whose endpoint announces a rate limit in each of its responses.

  Scenario Outline: a rate limit in the head of a response applies to the next request
    Given a relay node with one endpoint that does: <script>
    When the endpoint's answers say <line>
    And a caller sends a <kind> request
    And a caller sends 6 unsafe requests on one connection
    Then each is refused at once as not run, with a retry time
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

  Scenario: an endpoint with a rate limit gets as many requests as it allows, and no more
    Given a relay node with one endpoint that does: answer
    When the endpoint's answers say Server-Limit: 2
    And a caller sends a unsafe request every 40 ms for 6 s
    Then the first endpoint got 7 to 14 in all
    And the other requests were refused at once

  Scenario: a rate limit ends with the first response without one
    Given a relay node with one endpoint that does: answer
    When the endpoint's answers say Server-Limit: 2
    And a caller sends a unsafe request every 40 ms for 3 s
    And its responses contain no rate limit any more
    And a caller sends a unsafe request every 40 ms for 2 s
    And a caller sends 6 unsafe requests on one connection
    Then the first endpoint answers each

  Scenario: a request assigned before the rate limit was announced is withheld before its first byte
    Given a relay node with one endpoint that does: answer
    When a request waits for its connection, and a response with Server-Limit: 0.5 arrives meanwhile
    Then that request is refused without having been sent

  Scenario Outline: an invalid rate limit is ignored
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
