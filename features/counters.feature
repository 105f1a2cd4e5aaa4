@relay
Feature: What is told as a total only rises

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
