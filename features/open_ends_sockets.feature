@relay
Feature: Endpoints of plain services whose answers show no end, between sockets

  # The endpoints live on and go on to answer, each answer with a part of its body.
  Scenario Outline: an endpoint that gives all its answers up gets few requests, whichever node asks
    Given <nodes> linked nodes that share three endpoints, and callers at each
    When one endpoint closes all its bodies in their midst, and 160 unsafe requests come to the nodes in turn
    Then at most 3 of them get 502, and one more for each 5 s
    And all others get 200
    And no endpoint is ejected at any node

    Examples:
      | nodes |
      | 1     |
      | 3     |

  Scenario: a service of which all endpoints answer so is used on
    Given 3 linked nodes that share three endpoints, and callers at each
    When all endpoints close all their bodies in their midst, and 60 unsafe requests come to the nodes in turn
    Then all of them have run, at each endpoint 3 or more
    And no endpoint is ejected at any node
