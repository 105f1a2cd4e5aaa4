@relay
Feature: Requests that are sent to an endpoint again, between sockets

  # Guards against an answer to an earlier send of a request that is taken for the answer to a later one.

  Scenario Outline: a second copy of an answer that comes late is not the answer to the next send
    Given a relay node with one endpoint that does: <script>
    And its routes allow 3 attempts, and it asks for no rest
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples: "twice": the same bytes once more, in the place of the next answer on the connection
      | kind      | script                             | answer   | runs |
      | unsafe    | refuse twice, answer               | whole    | 1    |
      | unsafe    | refuse twice, refuse twice, answer | whole    | 1    |
      | safe      | refuse twice, answer               | whole    | 1    |
      | unsafe    | absent twice, answer               | whole    | 1    |
      | safe      | fail twice, answer                 | whole    | 2    |
      | stream    | refuse twice, stream               | 5 events | 1    |
      | resumable | refuse twice, stream               | 5 events | 1    |
      | resumable | end within the 4th twice, stream   | 5 events | 2    |
      | resumable | end within the 4th, refuse twice, stream | 5 events | 2 |
      | resumable | end within the 4th twice, refuse twice, stream | 5 events | 2 |

  Scenario: a caller that sends a refused request again under its id gets the answer to that try
    Given a relay node with one endpoint that does: refuse twice, answer
    And its routes allow 1 attempts, and it asks for no rest
    When a caller sends an unsafe request that is refused, and sends it again
    Then the answer is whole
    And the endpoints ran it 1 times

  Scenario Outline: a second copy of an answer that comes late is not the answer to an order
    Given a relay node with one endpoint that does: answer twice
    When the endpoint answers <call> twice, and then refuses an order with 409
    Then the order is known as refused

    Examples:
      | call                  |
      | a request             |
      | an order              |
      | a report              |
      | a process check       |
      | a health check        |
      | a copy of a run       |
      | the freeing of a copy |

  Scenario Outline: a second copy of an answer that comes late is not the endpoint's report
    Given a relay node with one endpoint that does: answer twice
    When the endpoint answers <call> twice, and then is asked for its report
    Then its report is read

    Examples:
      | call                  |
      | a request             |
      | an order              |
      | a report              |
      | a process check       |
      | a health check        |
      | a copy of a run       |
      | the freeing of a copy |

  Scenario Outline: a second copy of an answer that comes late is not the copy of a run
    Given a relay node with one endpoint that does: answer twice
    When the endpoint answers <call> twice, and then is asked for a copy of another run
    Then the node names the copy of that run

    Examples:
      | call                  |
      | a request             |
      | an order              |
      | a report              |
      | a process check       |
      | a health check        |
      | a copy of a run       |
      | the freeing of a copy |

  Scenario Outline: a second copy of an answer that comes late does not show which process listens
    Given a relay node with one endpoint that does: answer twice
    When the endpoint answers <call> twice, and then is asked which process listens
    Then the node finds that process

    Examples:
      | call                  |
      | a request             |
      | an order              |
      | a report              |
      | a process check       |
      | a health check        |
      | a copy of a run       |
      | the freeing of a copy |

  Scenario Outline: a second copy of an answer is not the answer to the product's own next <call>
    Given a server that sends each answer twice, the second time <when>
    When the product's own <call> is made 3 times, one after another
    Then each of them gets its own answer

    Examples:
      | call         | when                                |
      | service call | late                                |
      | service call | in the place of the next answer     |
      | generation   | late                                |
      | generation   | in the place of the next answer     |
      | continuation | late                                |
      | report       | late                                |
      | report       | in the place of the next answer     |

  Scenario Outline: a second copy of a platform's answer is not the answer to the next call
    Given a server that sends each answer twice, the second time <when>
    When <client> makes a <call> 3 times, one after another
    Then each of them gets its own answer

    Examples:
      | client                | call  | when                            |
      | the store's client    | read  | in the place of the next answer |
      | the store's client    | list  | in the place of the next answer |
      | the store's client    | watch | in the place of the next answer |
      | the store's client    | write | in the place of the next answer |
      | the store's client    | read  | late                            |
      | the platform's client | read  | in the place of the next answer |
      | the platform's client | list  | in the place of the next answer |
      | the platform's client | watch | in the place of the next answer |
      | the platform's client | write | in the place of the next answer |
      | the platform's client | read  | late                            |

  Scenario: reads of reports don't each leave a connection open
    Given a relay node with one endpoint that does: answer
    And it keeps idle connections open for 60 s
    When it is asked for its report 6 times
    Then at most 1 of the node's connections to it is open

  # Guards against a late copy of a refusal whose words count for the request in flight, and as new.
  Scenario: a second copy of a 421 for one model that comes late says nothing of another model
    Given a relay node with one endpoint with the models m1 and m2 that does: absent twice, answer
    When a caller sends an unsafe request for m1, and then one for m2
    Then the first is refused, and the second is answered
    And the endpoint is known to hold m2, and not m1

  Scenario Outline: a second copy of a refusal that comes late asks for no new rest
    Given a relay node with one endpoint that does: <script>
    And its refusals ask for a rest of 0.3 s
    When a caller sends a <kind> request, another one after that rest, and a third one at once
    Then the first is refused, and the others are answered within 0.2 s

    Examples:
      | kind   | script               |
      | unsafe | refuse twice, answer |
      | safe   | refuse twice, answer |

  # Guards against a refusal whose bytes come as its request is given up, and which sends it again.
  Scenario Outline: a refusal that comes as its request ends decides nothing of it any more
    Given a relay node with one endpoint that does: answer
    And its routes allow 3 attempts, and it asks for no rest
    When <kind> requests are refused from 8 ms before to 8 ms after <end>, 1 ms apart
    Then those that had ended 4 ms before their refusal were sent once
    And nothing is left of them at the node
    And the next request is answered

    Examples:
      | kind      | end                  |
      | unsafe    | their time is over   |
      | unsafe    | their callers leave  |
      | safe      | their time is over   |
      | safe      | their callers leave  |
      | resumable | their callers leave  |

  Scenario: an answer that is not to the request in flight is logged
    Given a relay node with one endpoint that does: answer twice, answer
    When a caller sends 2 unsafe requests on one connection
    Then each answer belongs to its request
    And the log has one skipped answer, while the node waited for q1

  Scenario: an answer that is not to the order in flight is logged
    Given a relay node with one endpoint that does: answer twice
    When the endpoint answers a request twice, and then refuses an order with 409
    Then the order is known as refused
    And the log has one skipped answer, while the node waited for order

  Scenario: a connection that is passed over serves other requests
    Given a relay node with one endpoint that does: refuse, refuse, answer
    And its routes allow 3 attempts, and it asks for no rest
    When a caller sends 3 unsafe requests on one connection
    Then each answer belongs to its request
    And the endpoint was connected to 3 times

  Scenario Outline: a connection is closed before it has carried more requests than it knows
    Given a connection to an endpoint
    When <number> requests are sent on it and answered, one after another
    Then it knows the first and the last of them, and no other
    And it is left <state>

    Examples:
      | number | state  |
      | 255    | open   |
      | 256    | closed |
