@sockets
Feature: A planned stop of a node whose callers wait for another node

  Scenario: a stop waits for the answer that a session's node gives
    Given a session at box-1
    When box-2 is stopped while it waits for the answer to key 1
    Then the outcomes are ran and it ran 1 times
    And box-2 has stopped within 3.0 s

  Scenario: a stop that has to end now doesn't wait for the answer that a session's node gives
    Given a session at box-1
    When box-3 has to end while it waits for the answer to key 1
    Then the outcomes are unknown and it ran 1 times
    And box-3 has stopped within 1.0 s
