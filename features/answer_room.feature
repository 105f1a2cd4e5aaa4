Feature: Large answers are let into a node's room one after the other

  # Guards against answers that all grow side by side until none can end.
  Scenario Outline: answers are let in as far as they fit, the least of each endpoint first
    Given a room of 100 bytes, and answers that wait: <answers>
    Then these are let in: <first>
    When these have left: <first>
    Then these are let in: <then>

    Examples: by endpoint, the sizes in bytes
      | answers                 | first      | then       |
      | a 40 40 40              | a 40 40    | a 40       |
      | a 40 40 40, b 40        | a 40, b 40 | a 40 40    |
      | a 60, b 60, c 40        | a 60       | b 60, c 40 |
      | a 300, b 10             | a 300      | b 10       |
      | a 90, b 300, c 10       | a 90       | b 300      |

  # Guards against room that an endpoint holds with an answer that it doesn't send.
  Scenario: an answer of which little comes holds up others for two checks at the most
    Given a room of 900000 bytes, and answers that wait: a 900000
    Then these are let in: a 900000
    When 300000 bytes of a's come, and b's answer of 500000 bytes waits
    And its progress is checked
    Then none is let in
    When its progress is checked
    Then these are let in: b 500000

  Scenario: an answer of which enough comes keeps its room
    Given a room of 900000 bytes, and answers that wait: a 900000
    Then these are let in: a 900000
    When 300000 bytes of a's come, and b's answer of 500000 bytes waits
    And its progress is checked
    And 90000 bytes of a's come
    And its progress is checked
    Then none is let in

  # Guards against an endpoint that sends just enough to keep its room, and never ends in time.
  Scenario Outline: an answer that can't end within its request's time keeps no room
    Given a room of 9000000 bytes, and answers that wait: a 9000000
    Then these are let in: a 9000000
    When 300000 bytes of a's come, and b's answer of 500000 bytes waits
    And its progress is checked
    And <more> bytes of a's come
    And its progress is checked
    Then <then>

    Examples: 1.5 s are left, and a quarter of a second was checked
      | more    | then                       |
      | 1200000 | these are let in: b 500000 |
      | 1300000 | none is let in             |

  # Guards against answers that stall near their end and fill the room.
  Scenario: one answer is let in beside stalled ones that fill the room
    Given a room of 900000 bytes, and answers that wait: a 900000
    Then these are let in: a 900000
    When 800000 bytes of a's come, and b's answer of 500000 bytes waits
    And its progress is checked
    And its progress is checked
    Then these are let in: b 500000

  # Guards against an endpoint that takes the room again and again.
  Scenario: an endpoint whose answer stalled comes after others
    Given a room of 900000 bytes, and answers that wait: a 900000
    Then these are let in: a 900000
    When its progress is checked
    And its progress is checked
    And answers come: a 900000, b 500000
    Then these are let in: b 500000
