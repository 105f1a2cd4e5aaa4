@relay
Feature: Which process listens at the address of one whose answer's connection has ended

  Scenario Outline: what an answer shows about the process that gave it
    Given the process i1, which started at <known>
    When a call for it gets <status> from <named>, with a report of a start at <reported>
    Then that shows that it is <match>

    Examples:
      | status | named   | known | reported | match   |
      | 200    | nobody  | 0     | 0        | NAMED   |
      | 200    | nobody  | 700   | 700      | SAME    |
      | 200    | nobody  | 700   | 0        | NAMED   |
      | 200    | nobody  | 0     | 700      | NAMED   |
      | 200    | nobody  | 700   | 701      | ANOTHER |
      | 200    | i1      | 700   | 701      | ANOTHER |
      | 200    | i1      | 0     | none     | NAMED   |
      | 503    | i1      | 0     | none     | NAMED   |
      | 200    | i2      | 0     | 0        | ANOTHER |
      | 503    | i2      | 0     | none     | ANOTHER |
      | 421    | nobody  | 0     | none     | ANOTHER |
      | 421    | i1      | 0     | none     | ANOTHER |
      | 200    | nobody  | 0     | none     | UNKNOWN |
      | 503    | nobody  | 0     | none     | UNKNOWN |
      | 404    | nobody  | 0     | none     | UNKNOWN |

  Scenario Outline: what calls to an address show of the process
    Given a relay node with one endpoint that does: answer
    When calls for its process find <found>
    Then it is taken to be <there> after <calls> calls

    Examples:
      | found                    | there | calls |
      | SAME                     | there | 1     |
      | NAMED                    | there | 1     |
      | UNKNOWN                  | there | 1     |
      | ANOTHER                  | gone  | 1     |
      | NOBODY                   | gone  | 1     |
      | BROKEN, SAME             | there | 2     |
      | BROKEN, NAMED            | gone  | 2     |
      | BROKEN, ANOTHER          | gone  | 2     |
      | BROKEN, UNKNOWN          | there | 2     |
      | BROKEN, BROKEN, SAME     | there | 3     |
      | BROKEN, BROKEN, NAMED    | gone  | 3     |
      | SILENT, SAME             | there | 2     |
      | SILENT, BROKEN, NAMED    | gone  | 3     |

  Scenario: a process that answers nothing is taken to be gone within a second
    Given a relay node with one endpoint that does: answer
    When calls for its process are not answered
    Then it is taken to be gone after 0.9 to 1.5 s

  Scenario: answers that end together share a call, and none counts that began before an end
    Given a relay node with one endpoint that does: answer
    When answers of it end at 0, 0 and 20 ms, and calls take 50 ms
    Then it is taken to be there after 2 calls, 0.09 s later at least

  Scenario Outline: an endpoint is asked once, where no earlier connection to it is open
    Given a relay node whose routes take up to 8 s, with one endpoint with models that does: <script>
    And <idle> idle connections to it
    When the endpoint of a stream request is staying, and ends its answers and lives on
    Then the answer is 5 events
    And their health was asked for 0 times and their report <reports> times

    Examples:
      | idle | script                                        | reports |
      | 0    | 3 and the rest as it stops                    | 0       |
      | 0    | 3 and the rest as it stops and closes         | 1       |
      | 0    | 3 and the rest as it stops and closes as said | 1       |
      | 2    | 3 and the rest as it stops and closes         | 0       |
