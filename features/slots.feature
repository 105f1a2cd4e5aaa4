Feature: Slots of plain services, given out by one node for all

  Scenario Outline: what is served is served in time, and the rest is told at once
    Given a plain service of <endpoints> endpoints with 6 slots and runs of 60 ms
    When 69 nodes bring <rate> requests a second for 10 s, placed by <way>
    Then at least <in_time> of what it can run is answered within 300 ms
    And at most <shed> of the requests are turned away by an endpoint
    And whoever is refused has waited at most 250 ms

    Examples: by its owner
      | endpoints | rate | way       | in_time | shed |
      | 3         | 120  | its owner | 0.98    | 0.0  |
      | 3         | 290  | its owner | 0.9     | 0.0  |
      | 3         | 450  | its owner | 0.9     | 0.0  |
      | 2         | 300  | its owner | 0.9     | 0.0  |

  Scenario: nodes that place by views as old as their heartbeats lose what the owner serves
    Given a plain service of 2 endpoints with 6 slots and runs of 60 ms
    When 69 nodes bring 300 requests a second for 10 s, placed by views
    Then less than 0.7 of what it can run is answered within 300 ms

  Scenario: one organisation at many times its usual does not slow the others
    Given a plain service of 2 endpoints with 6 slots and runs of 60 ms
    When one organisation brings 400 requests a second and 15 others 6 each, for 10 s
    Then at least 0.93 of the others' are answered within 300 ms
    And the hot one gets at least 0.85 of what the others leave

  Scenario: the most urgent go first, and none of the others waits for ever
    Given a service's queue with one slot that is taken
    When requests of rank 2, 1, 2 and 0 come in this order
    Then they are let in as ranks 0, 1, 2, 2

  Scenario: a slot of which nothing is heard is free again
    Given a service's queue with one slot that is taken
    When 1.1 s pass and a request comes
    Then it gets the slot

  Scenario: endpoints that fail at once draw no requests
    Given a service's queue with two endpoints, at one of which each run fails after 5 ms
    When 200 requests come, a slot free for each
    Then that endpoint got at most 60 of them

  # Its rows of an owner that knows no endpoint guard against requests that are refused by the
  # hundred, though their own nodes know endpoints with room.
  Scenario Outline: a request whose owner is silent is placed by its own node
    Given a relaying node with a plain service whose owner <answers>
    When a request comes and <ms> ms pass
    Then the request <state>

    Examples:
      | answers             | ms  | state                    |
      | says nothing        | 50  | waits                    |
      | says nothing        | 70  | was sent                 |
      | says that it waits  | 70  | waits                    |
      | gives it a slot     | 0   | was sent                 |
      | refuses it          | 0   | was refused              |
      | knows no endpoint   | 0   | was sent                 |
      | knows none, nor does the node | 0 | was refused      |
      | gives a gone one    | 0   | was sent and gave it back |

  Scenario: a slot is given back once, however its run ends
    Given a relaying node with a plain service whose owner gives it a slot
    When its run <ends>, as each run may
    Then the slot was given back once

  Scenario: without an endpoint callers are told a time that they can wait for
    Given a service's queue without an endpoint
    Then a request is refused, to come back within 3 s

  Scenario: a caller who is refused for want of slots is not sent away past its deadline
    Given a plain service whose owner refuses requests for 9 s
    When a request with a deadline of 1.5 s comes
    Then it is told to come back within 0.5 s

  Scenario Outline: what did not run teaches nothing of how long runs take
    Given a service's queue with two endpoints, at one of which nothing runs
    When 60 slots there come back after <ms> ms because <why>
    Then a run there is taken to last <at_least> s at least

    Examples:
      | ms | why                             | at_least |
      | 0  | their requests were gone        | 0.1      |
      | 1  | the endpoint turned them away   | 0.3      |
