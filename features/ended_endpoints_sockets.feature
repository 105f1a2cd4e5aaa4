@relay
Feature: Many endpoints that end together are no sign that a node's way to endpoints is broken

  Scenario: a node that still reaches one endpoint goes on there, and says what ended
    Given 2 linked nodes, and endpoints of the versions v1, v1, v1, v1, v1, v1, v1, v1
    When 12 streams run and all endpoints but one end at once
    Then no node found itself isolated, and nothing was handed over
    And each stream that broke off is charged to an end of its endpoint
    And no stream has events of two versions
