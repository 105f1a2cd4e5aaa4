@relay
Feature: A value of a message between nodes that can't be read or sent stops no other

  # Guards against a link that ends with each message in which one row is odd, and again whenever it
  # is dialled anew, so that its nodes know nothing of each other; and against a row that no message
  # can carry, for which none of the rows beside it reaches the other nodes.

  Scenario: no kind of message ends its link, whichever of its values is odd
    Given a relay node with one endpoint that does: answer
    When another node sends it each kind of message, with each value odd in turn
    Then each link stays, and a sound message after the odd ones is handled

  Scenario: nor does one whose values have their types and are extreme
    Given a relay node with one endpoint that does: answer
    When another node sends it each kind of message, with each value extreme in turn
    Then each link stays, and a sound message after the odd ones is handled
    And no loop or effect of the node has failed

  Scenario: nor does one whose values have their types but which can't be handled
    Given a relay node with one endpoint that does: answer
    When another node sends it a configuration that isn't packed, twice
    Then each link stays, and a sound message after the odd ones is handled
    And the log names the message table once

  Scenario: a malformed message in the handshake ends it at once
    Given a relay node with one endpoint that does: answer
    When another node begins with a malformed hello
    Then its link ends within 1 s

  Scenario: the sound rows beside an odd one are kept, in each kind of message
    Then each kind of message keeps its sound rows beside an odd one, or is dropped as a whole

  Scenario: a message with an odd value in no row is dropped
    Then each kind of message is dropped with an odd value in place of any that is no list

  Scenario: the rows beside one that can't be sent are sent, in each kind of message
    Then each kind of message is sent without a row that can't be, or not at all

  Scenario: what nodes really send is read as it was sent
    Then a message of each kind arrives as it was sent

  Scenario: a row is dropped where its number is no number, whatever it would be compared with
    Then heartbeats with a demand of NaN or infinity arrive without that row

  Scenario Outline: an entry that can't be sent keeps none of the others from a follower
    Given a relay node with one endpoint that does: answer
    When <odd> is among its entries, and another node follows it
    Then the follower gets the other entry

    Examples:
      | odd                               |
      | an entry with a number of 400 digits |
      | an entry with half of a surrogate |
      | an entry of 9 MB                  |

  Scenario: a value that is odd again and again is logged once in a while
    When a node's message has an odd value 50 times in a row
    Then there is 1 line about it
    When it has one again after 61 s
    Then there are 2 lines, and the last one counts 50
