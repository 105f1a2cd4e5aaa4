@relay
Feature: Totals only rise, and what is gone is told no more

  Scenario Outline: the bytes sent to other nodes
    Given a node to which another has a link, over which it got much
    When <event>
    Then the bytes that the node has sent to others are more than before

    Examples:
      | event                                                  |
      | the other makes a new link                             |
      | the other makes a new link after a restart             |
      | the link ends, and the other makes a new one           |
      | a node with the first one's own name makes a link      |
      | a node without the key makes a link                    |

  Scenario: the requests that wait are told of the ranks that there are
    Given a relay node with one endpoint that does: answer
    When its routes have the rank 7, its metrics are read, and then the rank 3
    Then its metrics have requests that wait of the rank 3, and of none that has gone
