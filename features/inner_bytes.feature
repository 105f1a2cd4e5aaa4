@relay
Feature: What waits within a node counts together with all else that waits

  # Guards against a message whose parts are read one by one, beyond the size of a message.
  Scenario Outline: a message between nodes that never ends is given up
    Given a link to another node, <when> its handshake
    When the other node sends a list whose parts never end, 256 KB at a time
    Then the link has failed as "message too large" after <most> KB at most

    Examples:
      | when   | most |
      | before | 8    |
      | after  | 8500 |

  Scenario: messages that don't end are bounded together, and the largest links end
    Given 30 links whose other nodes send a list of 6 MB without its end, and one of 10 KB
    When the node reads them at the same time
    Then at most 64 MB of them were held at any time
    And the short one stays, and 20 of the others at least have ended

  Scenario: messages that are not read are bounded together, and the largest links end
    Given 30 links whose other nodes read nothing, and one that has read all but 10 KB
    When the node sends each of the former 6 MB
    Then at most 64 MB of them were held at any time
    And the short one stays, and 20 of the others at least have ended

  Scenario: a link whose other node reads is counted no more
    Given a link to another node, after its handshake
    When the other node sends a sound message of 1 MB
    Then the link has read it, and nothing is counted

  Scenario Outline: an error answer that is kept for its caller counts, and may be given up
    Given a relay node with two endpoints that do: fail at length, hang
    When a caller sends a safe request, and <event> as the second endpoint has it
    Then 1 MB at least was counted by then, and less than 0.1 MB after the answer
    And the caller has got the status <status>

    Examples:
      | event                            | status |
      | nothing happens                  | 500    |
      | others hold all that may be held | 504    |

  Scenario: a body that is given up while its endpoint is looked at isn't passed on
    Given an answer whose end its endpoint's stop may have brought about
    When it is given up while the node looks whether the endpoint lives on, which it does
    Then its request has failed as "too many bytes are held"
