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

  # Guards against bodies that are some sixty times as large once they are decoded.
  Scenario Outline: of a list with too many values, the rows with the most are left out, by name
    Given a list of the store of 7100 endpoints, and <many> odd ones of <size> values <value>
    When the node decodes it
    Then at most <mb> MB were taken for it, and it took 6 s at most
    And all sound endpoints are in it, and the names of the odd ones

    Examples:
      | many | size    | value | mb |
      | 0    | 0       | 0     | 64 |
      | 1    | 300000  | []    | 64 |
      | 15   | 300000  | []    | 64 |
      | 1    | 4000000 | []    | 64 |
      | 1    | 4000000 | {}    | 64 |
      | 1    | 3000000 | "a"   | 64 |
      | 1    | 6000000 | 0     | 64 |
      | 9000 | 400     | []    | 64 |

  Scenario Outline: odd rows beside one of too many values are read as without it
    Given a list of the store with the odd objects <objects>, and one of 600000 values
    When the node decodes it
    Then the objects beside are as they are without it

    Examples:
      | objects                          |
      | 2,000 levels, half a pair        |
      | 1,000,000 levels, a control character |
      | brackets within a text, 65 bits  |
      | bytes that are no text, a word   |

  Scenario: a list whose rows are no objects of a store, but many, is a failed call
    Given a list of the store of 4000000 rows without a name
    When the node decodes it
    Then at most 32 MB were taken for it, and it took 6 s at most
    And it has failed as a whole

  # A node's own tables grow with its deployment, and so does its memory.
  Scenario: a large fleet of one list is read by a node whose memory bears it
    Given a list of the store of 7100 endpoints of 20 models, 990 models and 1900 nodes
    When a node that may hold 128 MB decodes it
    Then every row of it is whole

  Scenario Outline: a report with too many values is malformed
    Given a report of <size> values <value>
    When the node decodes it
    Then at most 4 MB were taken for it, and it took 1 s at most
    And there is no report

    Examples:
      | size   | value |
      | 340000 | []    |
      | 340000 | {}    |
      | 260000 | "a"   |
      | 520000 | 0     |

  Scenario: a report of as many models as one may have is read
    Given a report of 10000 models
    When the node decodes it
    Then there is a report of 10000 models
