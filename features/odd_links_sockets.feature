@sockets
Feature: A value that can't be read ends no link of the product's own nodes

  Scenario Outline: no kind of message ends its link, whichever of its values is odd or extreme
    When another node sends box-1 each kind of message, with each value <what> in turn
    Then each link to box-1 stays, and a sound heartbeat after the others is handled

    Examples:
      | what    |
      | odd     |
      | extreme |

  Scenario: a message whose handler fails ends no link
    When another node sends box-1 a message whose handler fails
    Then each link to box-1 stays, and a sound heartbeat after the others is handled

  Scenario: all nodes serve callers afterwards
    Then a caller of each node gets a whole answer
