@relay
Feature: A large configuration reaches all nodes over thin links

  # Guards against a configuration whose copies fill the links of thin boxes.

  Scenario Outline: the copies that a relay sends leave most of its link free
    Given a relay node with one endpoint that does: answer
    When the operator writes version 6 with <routes> more routes
    And <followers> nodes request the configuration
    Then the copies take less than 0.5 s of a link of 10 Mbit/s
    And each is the configuration as the operator wrote it

    Examples:
      | routes | followers |
      | 1800   | 5         |
      | 1800   | 20        |
      | 0      | 20        |

  Scenario Outline: a malformed copy of the configuration changes nothing, and its link stays
    Given a relay node with one endpoint that does: answer
    When another node sends version 9, <fault>
    Then the link stays, and the log gives the error "<error>"
    And version 5 is in force

    Examples:
      | fault         | error               |
      | cut short     | cut short           |
      | not packed    | a packed value      |
      | without bytes | Expected `bytes`    |
      | too large     | too large           |
