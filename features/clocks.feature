@relay
Feature: The time for which a box was suspended counts

  # A box may be suspended for seconds, which its kernel's monotonic clock does not count. A node that used
  # that clock would resume with a valid lease and a proved configuration, although another node gives orders
  # and a key has been revoked.

  Scenario Outline: whatever expires does so by all the time that has passed
    Given a relay node with an endpoint, and an organisation with the key key-a
    And it holds the lease
    When it is suspended for <seconds> s, which the monotonic clock does not count
    Then before anything else it <lease> the lease
    And before anything else a request with key-a is <outcome>

    Examples:
      | seconds | lease       | outcome         |
      | 0.1     | holds       | admitted        |
      | 6       | has lost    | refused, 503    |
      | 30      | has lost    | refused, 503    |

  Scenario: only the clock module measures ages with a system clock
    Then no module of the daemon but clock reads a system clock for ages

  Scenario: a request whose deadline passes while the box is suspended ends when it resumes
    Given a relay node with one endpoint that does: hang
    When a request with a deadline of 900 ms is in flight, and the box is suspended for 6 s
    Then the caller gets a 504 within 0.4 s, and the suspension is logged

  Scenario Outline: a suspended lease holder gives no orders on its old lease, whichever event comes first
    Given a lease holder over two runners, with <step>
    When it is suspended for <seconds> s, its writes of the lease get no answer, and <first> comes first
    Then it <gives>

    Examples: three seconds after its last write of the lease was sent it may give no orders on it
      | step                             | seconds | first                     | gives           |
      | nothing in progress              | 1       | a load request            | gives an order  |
      | nothing in progress              | 2.9     | a load request            | gives an order  |
      | nothing in progress              | 3.1     | a load request            | gives no order  |
      | nothing in progress              | 6       | a load request            | gives no order  |
      | nothing in progress              | 30      | a load request            | gives no order  |
      | nothing in progress              | 3.1     | a tick                    | gives no order  |
      | nothing in progress              | 30      | a runner's report         | gives no order  |
      | an order without an answer       | 1       | the order's answer        | gives an order  |
      | an order without an answer       | 3.1     | the order's answer        | gives no order  |
      | an order without an answer       | 6       | the order's lost answer   | gives no order  |
      | an order without an answer       | 30      | a tick                    | gives no order  |
      | an unanswered write of the lease | 2.9     | a load request            | gives an order  |
      | an unanswered write of the lease | 3.1     | a load request            | gives no order  |
      | an unanswered write of the lease | 6       | the write's late answer   | gives no order  |
      | an unanswered write of the lease | 30      | the write's late answer   | gives no order  |
      | a waiting request                | 3.1     | a tick                    | gives no order  |
