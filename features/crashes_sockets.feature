@sockets
Feature: A chat request that crashes runners is sent to no more than three, with the product's own nodes

  # Guards against the failure that crashes.feature describes. Here a stream that breaks off is resumed
  # at another runner, up to seven times, so a single call crashed every runner that had its model.

  Scenario: a chat that crashes the runners that run it
    Given 8 more runners, which crash when a prompt with "ends what runs it" is sent to them
    When a caller repeats it 20 times, at each node in turn
    Then no more than 3 runners have crashed
    And the last answers are 503 with the outcome not_run and no retry time
    And a chat with another prompt is answered by each node
    And each node has counted one verdict
