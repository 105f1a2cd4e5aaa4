@relay
Feature: An odd row among those of the nodes stops neither the others nor the node that reads it

  Scenario Outline: a node's odd row stops neither other rows nor the node that reads it
    Given two endpoints, and the odd rookspring-nodes odd, <value>, that is written <when>
    When another node's row is written
    Then the node's own row is in the store, and it knows the other node within 4 s
    And it knows no odd node
    And the node's odd row is logged once, and the line names <field>
    And no task has failed, and no call to the store

    Examples:
      | value                     | when                   | field    |
      | nothing                   | before the node starts | address  |
      | an empty object           | before the node starts | address  |
      | a list                    | before the node starts | an object |
      | a number                  | before the node starts | an object |
      | 100,000 levels            | before the node starts | spec     |
      | 5,000 digits              | before the node starts | spec     |
      | a strength of text        | before the node starts | strength |
      | a strength of 1e400       | before the node starts | strength |
      | a negative strength       | before the node starts | strength |
      | a zone of a list          | before the node starts | zone     |
      | an address without a port | before the node starts | address  |
      | a node's port of 99999    | before the node starts | address  |
      | an address of a name      | before the node starts | address  |
      | a list                    | while the node watches | an object |
      | 100,000 levels            | while the node watches | spec     |

  Scenario Outline: a node's own row is replaced if it is odd
    Given two endpoints, and the odd rookspring-nodes n1, <value>, that is written before the node starts
    Then the node's own row is in the store within 4 s
    And no task has failed, and no call to the store

    Examples:
      | value           |
      | nothing         |
      | an empty object |
      | a list          |
      | 100,000 levels  |
