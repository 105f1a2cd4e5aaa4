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
