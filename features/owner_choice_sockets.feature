@relay
Feature: Rate limits while nodes come of age, between sockets

  # Guards against owners that, for seconds after some age, don't know that they own a queue.

  Scenario: endpoints that limit their requests go on getting them as nodes come of age
    Given 3 linked nodes that share three endpoints, and callers at each
    When all endpoints accept 4 requests a second for 12 s
    Then from 2 s on half of these are answered at least, in any 2 s
    And no node takes its queue over from itself
