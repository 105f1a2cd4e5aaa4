@relay
Feature: Endpoints that take no more connections, between sockets

  # Guards against a request that ends as 502 though nothing of it ran: it had been refused, was sent
  # again on a new connection, and its endpoint reset that.

  Scenario Outline: a refused request is sent again to an endpoint that resets further connections
    Given a relay node with one endpoint that does: <script>
    And its routes allow 3 attempts, and it asks for no rest
    And it takes 1 connections at once, and resets more
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it 1 times

    Examples:
      | kind      | script                 | answer   |
      | unsafe    | refuse, answer         | whole    |
      | unsafe    | refuse, refuse, answer | whole    |
      | unsafe    | refuse twice, answer   | whole    |
      | safe      | refuse, answer         | whole    |
      | stream    | refuse, stream         | 5 events |
      | resumable | refuse, stream         | 5 events |

  Scenario Outline: a request that found no connection is told as not run where its node could know
    Given a relay node with one endpoint that does: 3 until it stops, answer
    And its routes allow 3 attempts, and it asks for no rest
    And it takes 1 connections at once, and resets more
    When a caller's stream holds that connection, and two <kind> requests come one after another
    Then the second is refused with 503
    And the endpoints ran it 1 times

    Examples:
      | kind   |
      | unsafe |
      | stream |

  Scenario: a caller that leaves while its request's new connection is watched leaves none open
    Given a relay node with one endpoint that does: refuse, answer
    And its routes allow 3 attempts, and it asks for no rest
    When a caller of an unsafe request leaves while a new connection is watched for 0.3 s
    Then the endpoint has 1 open connections within 0.2 s, and ran nothing

  Scenario: connections to an endpoint that resets none are used at once
    Given a relay node with one endpoint that does: answer
    When a caller sends 20 unsafe requests, each on a new connection to the endpoint
    Then half of them took less than 0.015 s
