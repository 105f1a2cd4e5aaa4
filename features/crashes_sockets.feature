@sockets
Feature: Requests that end endpoints, at the product's own front

  # The same cause as between relay nodes: an answer that breaks off goes on at another runner, up to
  # seven times, so one request ended every runner that held its model within one try.

  Scenario: a chat that ends the runners that run it
    Given 8 more runners, which end when a prompt with "ends what runs it" is sent to them
    When a caller asks for it 20 times, at each node by turns
    Then no more than 3 runners have ended
    And the last answers are 503 with the outcome not_run and no time to come back
    And a chat with another prompt is answered by each node
    And each node has counted one verdict
