@sockets
Feature: Nodes that die or stop as planned

  Scenario: a killed node's keys are unknown, a drained node's are known
    Given at box-3 a session whose key 1 ran
    And at box-2 a session whose key 1 ran
    When box-3 is drained and box-2 is killed while streams run
    Then each answer is whole
    And box-3 left the addresses at once
    And key 1 of box-3 sent to box-1 gives ran and ran once in all
    And key 2 of box-3 sent to box-1 gives not_run and ran never
    And key 1 of box-2 sent to box-1 gives unknown and ran once in all
    And key 2 of box-2 first sent to box-1 gives not_run and ran never
    And key 1 of box-2 sent to box-1 gives unknown and ran once in all
