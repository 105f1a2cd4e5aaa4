@relay
Feature: Notices in an endpoint's responses are applied, whatever the store has of it

  # Guards against two failures that users saw. Requests reached an endpoint 3.5 and 4 s after it had
  # announced that it leaves, in the head of a response to the very node that sent them. Another
  # endpoint, which had requested a back-off of 3 s from each node, got 213 requests in 9 s and refused
  # each. How: the store can't be reached, so the first endpoint's entry can't show that it leaves; its
  # responses announce it and are forwarded to callers, and the next request is sent there. The other
  # refuses a request with 503 and Retry-After, its load falls below that of its neighbours, and the
  # next request is sent there. Cause: of a response's head a node used what the attempt's outcome
  # needed and dropped the rest, so it learnt of endpoints from the store and from reports only.
  # Evidence: in all nodes' logs there is no event between such a response and the next attempt; each
  # was a first attempt, decided within 1 ms; the endpoint's view was not recreated in between; at each
  # refused attempt the endpoint's load was 0.05 to 0.08, the lowest of all that had the model.

  Scenario Outline: a notice in the head of a response applies to the next request
    Given a relay node with one endpoint that does: <script>
    When the endpoint's answers say <line>
    And a caller sends a <kind> request
    And a caller sends 6 unsafe requests on one connection
    Then each is refused at once as not run, with a retry time
    And the first endpoint got 1 in all
    When another endpoint joins
    And a caller sends 6 unsafe requests on one connection
    Then the other endpoint answers each
    And the first endpoint got 1 in all

    Examples:
      | kind   | script        | line              |
      | unsafe | answer        | Server-Leaving: 1 |
      | unsafe | fail          | Server-Leaving: 1 |
      | unsafe | refuse        | Server-Leaving: 1 |
      | unsafe | half          | Server-Leaving: 1 |
      | unsafe | foreign first | Server-Leaving: 1 |
      | unsafe | unframed      | Server-Leaving: 1 |
      | stream | stream        | Server-Leaving: 1 |
      | stream | break after 3 | Server-Leaving: 1 |
      | unsafe | refuse        | Retry-After: 3    |
      | safe   | refuse        | Retry-After: 3    |
      | unsafe | refuse        | Retry-After: 2.5  |

  Scenario Outline: a notice is read from the response to any kind of call
    Given a relay node with one endpoint that does: stream
    When the endpoint's answers say <line>
    And the endpoint gets <call>
    Then the node knows that the endpoint <state>

    Examples:
      | call                                    | line              | state          |
      | a read of its report                    | Server-Leaving: 1 | leaves         |
      | an order                                | Server-Leaving: 1 | leaves         |
      | a request whose caller disconnects soon | Server-Leaving: 1 | leaves         |
      | a read of its report that it refuses    | Retry-After: 3    | is in back-off |
      | an order that it refuses                | Retry-After: 3    | is in back-off |

  Scenario: a report states in its body that its endpoint leaves
    Given a relay node with one endpoint that does: stream
    When the endpoint's report contains the state draining
    And the endpoint gets a read of its report
    Then the node knows that the endpoint leaves

  Scenario Outline: a notice that arrives while a request waits for its connection applies to that request
    Given a relay node with one endpoint that does: answer, refuse
    When a request waits for its connection, and a response with <line> arrives meanwhile
    Then that request is refused without having been sent

    Examples:
      | line              |
      | Server-Leaving: 1 |
      | Retry-After: 3    |

  Scenario: an endpoint in back-off gets neither orders nor reads of its report
    Given a relay node with one endpoint that does: refuse
    When the endpoint's answers say Retry-After: 3
    And a caller sends a unsafe request
    And the endpoint gets a read of its report
    And the endpoint gets an order
    Then neither was sent to the endpoint
