@sockets
Feature: Nodes that are killed or drained

  Scenario: outcomes of keys are unknown after a node was killed, and known after a drain
    Given at box-3 a session whose key 1 ran
    And at box-2 a session whose key 1 ran
    When box-3 is drained and box-2 is killed while streams run
    Then each answer is whole
    And box-3 is removed from the addresses at once
    And key 1 of box-3 sent to box-1 gives ran and ran once in all
    And key 2 of box-3 sent to box-1 gives not_run and ran never
    And key 1 of box-2 sent to box-1 gives unknown and ran once in all
    And key 2 of box-2 first sent to box-1 gives not_run and ran never
    And key 1 of box-2 sent to box-1 gives unknown and ran once in all
