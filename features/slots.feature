Feature: Slots of plain services, granted by one node for all nodes

  Scenario Outline: admitted requests are answered in time, and the rest are refused at once
    Given a plain service of <endpoints> endpoints with 6 slots and runs of 60 ms
    When 69 nodes send <rate> requests a second for 10 s, placed by <way>
    Then at least <in_time> of the requests that it can run are answered within 300 ms
    And at most <shed> of the requests are rejected by an endpoint
    And refused requests have waited at most 250 ms

    Examples: by the owner
      | endpoints | rate | way       | in_time | shed |
      | 3         | 120  | the owner | 0.98    | 0.0  |
      | 3         | 290  | the owner | 0.9     | 0.0  |
      | 3         | 450  | the owner | 0.9     | 0.0  |
      | 2         | 300  | the owner | 0.9     | 0.0  |

  Scenario: placement by views as old as the heartbeats answers fewer requests in time than the owner does
    Given a plain service of 2 endpoints with 6 slots and runs of 60 ms
    When 69 nodes send 300 requests a second for 10 s, placed by their own views
    Then less than 0.7 of the requests that it can run are answered within 300 ms

  Scenario: one organisation at many times its usual load does not slow down the others
    Given a plain service of 2 endpoints with 6 slots and runs of 60 ms
    When one organisation sends 400 requests a second and 15 others 6 each, for 10 s
    Then at least 0.93 of the others' requests are answered within 300 ms
    And the busy one gets at least 0.85 of the remaining capacity

  Scenario: waiting requests are served by rank, and in order of arrival within a rank
    Given a service's queue with one slot that is taken
    When requests of rank 2, 1, 2 and 0 arrive in this order
    Then they are admitted in the order of ranks 0, 1, 2, 2

  Scenario: a slot that is not released expires
    Given a service's queue with one slot that is taken
    When 1.1 s pass and a request arrives
    Then it gets the slot

  Scenario: endpoints that fail at once attract no requests
    Given a service's queue with two endpoints, at one of which each run fails after 5 ms
    When 200 requests arrive, with a free slot for each
    Then that endpoint got at most 60 of them

  # The rows of 500 ms and more have no tick in between, as if the node had stood still. The rows
  # with an owner that knows no endpoint guard against refusals of hundreds of requests
  # whose own nodes know endpoints with room.
  Scenario Outline: a request is placed by its own node if the owner does not answer
    Given a relaying node with a plain service whose owner <answers>
    When a request arrives and <ms> ms pass
    Then the request <state>

    Examples:
      | answers                              | ms   | state                           |
      | does not answer                      | 50   | waits                           |
      | does not answer                      | 70   | was sent                        |
      | does not answer                      | 500  | was sent                        |
      | does not answer                      | 3100 | was refused                     |
      | does not answer, and all are full    | 500  | was refused                     |
      | does not answer, its key is revoked  | 500  | was denied                      |
      | queues it                            | 70   | waits                           |
      | queues it                            | 500  | was refused                     |
      | grants it a slot                     | 0    | was sent                        |
      | refuses it                           | 0    | was refused                     |
      | knows no endpoint                    | 0    | was sent                        |
      | knows no endpoint, nor does the node | 0    | was refused                     |
      | grants a slot at a removed endpoint  | 0    | was sent, and the slot released |

  Scenario: a slot is released once, however its request ends
    Given a relaying node with a plain service whose owner grants it a slot
    When its request ends in each possible way
    Then the slot was released once

  Scenario Outline: a quick failure counts half a second, and an answer that may be whole its own time
    Given a relaying node with a plain service whose owner grants it a slot
    When its request ends after 60 ms as <end>
    Then its slot was taken for <seconds> s

    Examples:
      | end                                                 | seconds |
      | its connection broke                                | 0.5     |
      | its connection was closed, and it may be whole      | 0.06    |
      | it may be whole, and nothing listens there any more | 0.5     |

  Scenario: without an endpoint requests are refused with a short time to retry
    Given a service's queue without an endpoint
    Then a request is refused, to be retried within 3 s

  Scenario: a caller refused for lack of slots is told to retry before its deadline
    Given a plain service whose owner refuses requests for 9 s
    When a request with a deadline of 1.5 s arrives
    Then its caller is told to retry within 0.5 s

  Scenario Outline: requests that did not run do not lower the estimated run time
    Given a service's queue with two endpoints, at one of which nothing runs
    When 60 slots there are released after <ms> ms because <why>
    Then the estimated run time there is at least <at_least> s

    Examples:
      | ms | why                        | at_least |
      | 0  | their requests had ended   | 0.1      |
      | 1  | the endpoint rejected them | 0.3      |
