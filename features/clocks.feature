@relay
Feature: Time for which a box was suspended counts

  # A box may be suspended for seconds, which the steady clock of its kernel does not count. A node
  # that goes by that clock believes, when it goes on, that nothing has passed: its lease holds
  # and its configuration is proved, while another node gives orders and a key has ended.

  Scenario Outline: what has a bound is judged by all the time that has passed
    Given a relay node with an endpoint, and an organisation with the key key-a
    And it holds the lease
    When it is suspended for <seconds> s, which the steady clock does not count
    Then before anything else it <lease> the lease
    And before anything else a request with key-a is <fate>

    Examples:
      | seconds | lease       | fate            |
      | 0.1     | holds       | let in          |
      | 6       | has lost    | refused, 503    |
      | 30      | has lost    | refused, 503    |

  Scenario: no module of the product but its clock reads one for ages
    Then no module of the daemon but clock reads a clock of the system's for ages

  Scenario: a request whose time passed while the box was suspended ends when it goes on
    Given a relay node with one endpoint that does: hang
    When a caller who waits 900 ms is unanswered yet, and the box is suspended for 6 s
    Then the caller has a 504 within 0.4 s, and the log says that the node stood still

  Scenario Outline: a lease holder that stood still orders nothing on what it held, whatever comes first
    Given a lease holder over two runners, with <step>
    When it stands still for <seconds> s, its lease's writes get no answer, and <first> comes first
    Then it <gives>

    Examples: three seconds after its last write was sent nothing may be ordered on it
      | step                            | seconds | first                     | gives           |
      | nothing under way               | 1       | a want                    | gives an order  |
      | nothing under way               | 2.9     | a want                    | gives an order  |
      | nothing under way               | 3.1     | a want                    | gives no order  |
      | nothing under way               | 6       | a want                    | gives no order  |
      | nothing under way               | 30      | a want                    | gives no order  |
      | nothing under way               | 3.1     | a tick                    | gives no order  |
      | nothing under way               | 30      | a runner's report         | gives no order  |
      | an order without an answer      | 1       | the order's answer        | gives an order  |
      | an order without an answer      | 3.1     | the order's answer        | gives no order  |
      | an order without an answer      | 6       | the order's lost answer   | gives no order  |
      | an order without an answer      | 30      | a tick                    | gives no order  |
      | a lease's write without answer  | 2.9     | a want                    | gives an order  |
      | a lease's write without answer  | 3.1     | a want                    | gives no order  |
      | a lease's write without answer  | 6       | the write's late answer   | gives no order  |
      | a lease's write without answer  | 30      | the write's late answer   | gives no order  |
      | a request that waits            | 3.1     | a tick                    | gives no order  |
