Feature: Endpoints share the turns in which a node handles what it has read from them

  # Guards against turns as long as all that a flood has sent.
  Scenario: a turn ends, however much waits
    Given 60 reads of small events wait, of one endpoint
    When a turn is handled
    Then it took no more than a turn's work and one part

  # Guards against turns that go to connections, of which a flood has many.
  Scenario: an endpoint whose one read waits is served in the next turn beside a flood
    Given 60 reads of small events wait, of one endpoint
    And a read of another endpoint waits
    When a turn is handled
    Then the other endpoint's read is done

  Scenario: an endpoint that is alone waits for nothing but its own reads
    Given 2 reads of small events wait, of one endpoint
    When turns are handled until none waits
    Then each of them but the last took all of a turn's work

  Scenario: the tokens of an endpoint's streams are handled as they come, beside a flood
    Given 60 reads of small events wait, of one endpoint
    Then 64 reads of 2 tokens each, of another endpoint, are handled at once

  Scenario: a large read of plain data is handled as it comes
    Then a read of 256 KiB of plain data is handled at once

  # Guards against reads that are parsed in the wrong order.
  Scenario: an endpoint whose bytes wait gets nothing handled ahead of them
    Given 1 read of small events waits, of one endpoint
    Then 1 read of 1 token each, of that endpoint, is to wait
