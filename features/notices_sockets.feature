@relay
Feature: What an endpoint says with an answer is heeded, whatever the store says of it

  # What users saw: requests reached an endpoint 3.5 and 4 s after it had told the very node that sent
  # them, in the head of an answer, that it leaves; and an endpoint that had asked each node for 3 s of
  # rest got 213 requests in 9 s, and turned each away. The order of events: the store does not answer;
  # the endpoint begins to leave, which its entry cannot tell; its answers tell it, and are passed on;
  # the next request goes there. The other turns a request away with 503 and Retry-After, its load falls
  # below its neighbours', and the next request goes there. Cause: an attempt's outcome was made of an
  # answer's head and the rest thrown away, so that nodes learnt of endpoints by the store and by reports
  # alone. Evidence: in all nodes' logs nothing stands between such an answer and the next attempt, and
  # each was a first attempt, decided within 1 ms; the endpoint's view was not made anew meanwhile; at
  # each attempt that was turned away its load was 0.05 to 0.08, the least of all that held the model.

  Scenario Outline: what an endpoint says in the head of an answer holds for the next request
    Given a relay node with one endpoint that does: <script>
    When the endpoint's answers say <line>
    And a caller sends a <kind> request
    And a caller sends 6 unsafe requests on one connection
    Then each is refused at once as not run, with a time to come back
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

  Scenario Outline: nothing that an endpoint is asked keeps its word from being heard
    Given a relay node with one endpoint that does: stream
    When the endpoint's answers say <line>
    And it is asked by <what>
    Then the node knows that the endpoint <knows>

    Examples:
      | what                               | line              | knows   |
      | a report                           | Server-Leaving: 1 | leaves  |
      | an order                           | Server-Leaving: 1 | leaves  |
      | a request whose caller leaves soon | Server-Leaving: 1 | leaves  |
      | a report that it turns away        | Retry-After: 3    | rests   |
      | an order that it turns away        | Retry-After: 3    | rests   |

  Scenario: a report whose body tells that its endpoint leaves
    Given a relay node with one endpoint that does: stream
    When the endpoint's report tells the state draining
    And it is asked by a report
    Then the node knows that the endpoint leaves

  Scenario Outline: what is heard while a connection is made holds for the request that waits for it
    Given a relay node with one endpoint that does: answer, refuse
    When a request waits for its connection, and the endpoint says <line> meanwhile
    Then that request was not sent, and its caller is told so

    Examples:
      | line              |
      | Server-Leaving: 1 |
      | Retry-After: 3    |

  Scenario: an order or a question is kept from an endpoint at rest
    Given a relay node with one endpoint that does: refuse
    When the endpoint's answers say Retry-After: 3
    And a caller sends a unsafe request
    And it is asked by a report
    And it is asked by an order
    Then the endpoint was asked for no report and got no order
