@relay
Feature: Answers in chunks that an endpoint ends, cleanly, which tells nothing and lives on

  Scenario Outline: a close right after an answer's end shows at an endpoint that told nothing that its process has ended
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    When the endpoint of a <kind> request that follows others is <state>, and <stops>
    Then the answer is <answer>

    Examples:
      | kind   | state   | script                                                 | stops                                              | answer        |
      | stream | staying | answer, answer, 3 until it stops and closes            | ends its answers and lives on                      | 3 events, cut |
