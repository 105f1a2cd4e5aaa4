@core
Feature: Endpoints whose answers end with their connection, so that nothing shows their end

  Scenario Outline: an endpoint whose answers show no end is passed over while another one has room
    Given a relaying node with two endpoints that hold one model
    When <ends> answers of one of them show no end, and 6 follow <after_s> s later
    Then that endpoint gets <gets> of them

    Examples:
      | ends | after_s | gets |
      | 2    | 0.1     | some |
      | 3    | 0.1     | none |
      | 3    | 5.1     | some |

  Scenario: a whole answer ends the row of those that show no end
    Given a relaying node with two endpoints that hold one model
    When 2 answers of one of them show no end, one is whole, and 2 show none again
    Then that endpoint is not passed over

  Scenario: endpoints of which all show no end are used on
    Given a relaying node with two endpoints that hold one model
    When 3 answers of each of them show no end, and 6 follow 0.1 s later
    Then each of them gets some of them

  Scenario Outline: streams go first to an endpoint that lately framed its own
    Given a relaying node with two endpoints that hold one model
    When one of them ends its latest streams as <ends>, and 6 streams follow <after_s> s later
    Then that endpoint gets <gets> of them

    Examples:
      | ends                          | after_s | gets |
      | closed, closed                | 0.1     | some |
      | closed, closed, closed        | 0.1     | none |
      | closed, closed, closed        | 29.9    | none |
      | closed, closed, closed        | 30.1    | some |
      | closed, framed, closed        | 0.1     | some |
      | closed, closed, closed, framed | 0.1    | some |
      | closed, closed, cut           | 0.1     | none |
      | framed, framed, framed        | 0.1     | some |

  Scenario Outline: an endpoint whose streams end with their connection is used where <where>
    Given a relaying node with two endpoints that hold one model
    When one of them ends its latest streams as closed, closed, closed
    And this holds at the node: <where>
    And 4 <kind> follow
    Then that endpoint gets some of them

    Examples:
      | where                            | kind    |
      | the other has no room            | streams |
      | the other has left               | streams |
      | the other's streams end so too   | streams |
      | its process has started anew     | streams |
      | nothing else                     | bodies  |

  Scenario: a second attempt goes to another endpoint, also to one whose streams end with their connection
    Given a relaying node with two endpoints that hold one model
    When one of them ends its latest streams as closed, closed, closed
    And a stream fails at the other before its first event
    Then it is sent to that endpoint next

  # The owner of a plain service's slots chooses for all nodes, so it has to know of all answers.
  Scenario Outline: an owner of slots passes an endpoint over by its answers to all nodes
    Given the owner of the slots of a service with three endpoints
    When one of them gives two nodes these answers: <answers>
    And 6 requests for slots come <after_s> s later
    Then that endpoint gets <gets> of them

    Examples:
      | answers                 | after_s | gets |
      | open, open              | 0.1     | some |
      | open, open, open        | 0.1     | none |
      | open, open, open        | 5.1     | some |
      | open, open, whole, open | 0.1     | some |
      | open, open, open, whole | 0.1     | some |

  # Nodes of the version before tell no ends, and no node tells of failures.
  Scenario Outline: an answer whose end an owner isn't told neither counts nor ends the row
    Given the owner of the slots of a service with three endpoints
    When one of them gives two nodes these answers: <answers>
    And 6 requests for slots come <after_s> s later
    Then that endpoint gets <gets> of them

    Examples:
      | answers                   | after_s | gets |
      | untold, untold, untold    | 0.1     | some |
      | open, open, untold        | 0.1     | some |
      | open, open, untold, open  | 0.1     | none |
      | open, open, open, untold  | 0.1     | none |

  Scenario: endpoints of a service of which all show no end are used on
    Given the owner of the slots of a service with three endpoints
    When each of them gives two nodes these answers: open, open, open
    And 6 requests for slots come 0.1 s later
    Then all three get some of them

  Scenario Outline: an owner of slots uses an endpoint that it passes over if it has to: <where>
    Given the owner of the slots of a service with three endpoints
    When one of them gives two nodes these answers: open, open, open
    And this holds at the owner: <where>
    And 6 requests for slots come 0.1 s later
    Then that endpoint gets some of them

    Examples:
      | where                             |
      | the others have no room           |
      | the others have left              |
      | another node has owned them since |
      | its process has started anew      |

  Scenario: a request that failed at another endpoint doesn't go to one that is passed over either
    Given the owner of the slots of a service with three endpoints
    When one of them gives two nodes these answers: open, open, open
    And this holds at the owner: the third has left
    And 6 requests that failed at the second come 0.1 s later
    Then that endpoint gets none of them

  Scenario: answers that the owner before was told of don't count
    Given the owner of the slots of a service with three endpoints
    When one of them gives two nodes these answers: open, open
    And this holds at the owner: another node has owned them since
    And one of them gives two nodes these answers: open
    And 6 requests for slots come 0.1 s later
    Then that endpoint gets some of them

  Scenario Outline: a node tells the owner of a slot how the answer ended
    Given a relaying node with a plain service whose owner grants it a slot
    When its request ends as: <end>
    Then it tells the owner that <what>

    Examples:
      | end                                                 | what                   |
      | it is whole                                         | the end was shown      |
      | its connection was closed, and it may be whole      | nothing showed the end |
      | it may be whole, and nothing listens there any more | nothing of the end     |
      | it may be whole, and its process has started anew   | nothing of the end     |
      | its connection broke                                | nothing of the end     |
      | it was refused                                      | nothing of the end     |
      | its caller left                                     | nothing of the end     |

  Scenario Outline: an owner is told of an end before its slot is free, in messages that nodes of the version before read
    When a node frees a slot whose answer <ended>
    Then the messages to the owner are <messages>
    And what frees the slot has the fields of the version before

    Examples:
      | ended          | messages            |
      | was whole      | slot-end, slot-free |
      | showed no end  | slot-end, slot-free |
      | isn't told of  | slot-free           |
