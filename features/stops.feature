@relay
Feature: A planned stop of a relay node answers what callers have sent

  Scenario Outline: the log says what a caller waits for when the grace time ends
    Given a relay node with an endpoint that hangs, and a grace time of <grace> s
    When the node is stopped while it serves a <kind> request
    Then the log says that the answer to the request waits for <what>

    Examples:
      | grace | kind   | what     |
      | 1.2   | stream | endpoint |
      | 1.2   | unsafe | endpoint |
