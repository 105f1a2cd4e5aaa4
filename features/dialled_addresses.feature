@relay
Feature: An address that is no host and port is not dialled

  Scenario Outline: a call to an address with an odd port reaches nobody
    Given a server that counts its connections
    When a call is made to its host at <address>
    Then the call fails, nothing was sent, and the server got no connection

    Examples:
      | address                  |
      | its port and 65536       |
      | its port and a line break |
      | port 0                   |
      | port 70000               |
      | a port of 5000 digits    |
      | a port of -1             |
      | a port of text           |
      | no port                  |

  Scenario Outline: a link to an address with an odd port is not made, which is logged once
    Given a server that counts its connections
    When a node dials its host three times at <address>
    Then it is not reached, the server got no connection, and that was logged once

    Examples:
      | address                  |
      | its port and 65536       |
      | its port and a line break |
      | port 0                   |
      | a port of 5000 digits    |
      | a port of text           |
      | no port                  |
