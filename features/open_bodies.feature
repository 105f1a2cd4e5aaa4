Feature: What shows that a body is whole that has ended with its connection

  Scenario Outline: a media type whose values show their end
    Given an answer of the type <type> without a length
    When its bytes are <bytes>
    Then it is shown to be whole by <sign>

    Examples:
      | type                            | bytes                    | sign    |
      | application/json                | {"a": [1, "]}"]}         | json    |
      | application/json                | \n [] \r\n               | json    |
      | application/json                | "a b"                    | json    |
      | Application/JSON; charset=utf-8 | {}                       | json    |
      | application/problem+json        | {"title": "é"}           | json    |
      | application/json                | {"a": [1, "]}"]          | a cut   |
      | application/json                | {"a": 1} {"b": 2}        | nothing |
      | application/json                | {"a": 1}x                | a cut   |
      | application/json                | "a b                     | a cut   |
      | application/json                | "a b\"                   | a cut   |
      | application/json                | 12                       | nothing |
      | application/json                | true                     | nothing |
      | application/json                | null                     | nothing |
      | application/json                | [NaN]                    | nothing |
      | application/json                | [NaN                     | a cut   |
      | application/json                | {"a": {}                 | a cut   |
      | application/json                | ["a", -                  | a cut   |
      | application/json                | none                     | nothing |
      | application/json-seq            | {}                       | nothing |
      | application/stream+json         | {}                       | nothing |
      | application/x-ndjson            | {}                       | nothing |
      | text/plain                      | {}                       | nothing |
      | none                            | {}                       | nothing |
      | application/json, text/plain    | {}                       | nothing |
      | application/json and text/plain | {}                       | nothing |
      | application/json, coded         | {}                       | nothing |
      | application/json, not coded     | {}                       | json    |

  Scenario: no beginning of a JSON value with an end of its own shows an end
    Given an answer of the type application/json without a length
    Then each beginning of some values is shown to be whole by a cut, or nothing if it is empty

  Scenario Outline: JSON beyond the bounds shows no end, and raises no error
    Given an answer of the type application/json without a length
    When its bytes are <levels> arrays within each other, and <more> blanks
    Then it is shown to be whole by <sign>

    Examples:
      | levels  | more    | sign    |
      | 100     | 0       | json    |
      | 100     | 1048376 | json    |
      | 100     | 1048377 | nothing |
      | 100000  | 0       | nothing |

  Scenario: JSON that no reader takes is whole by an equal run
    Given an answer of the type application/json without a length
    And an earlier run gave the same
    When its bytes are [NaN]
    Then it is shown to be whole by an equal run

  Scenario: JSON whose syntax shows that it is cut is not whole by an equal run
    Given an answer of the type application/json without a length
    And an earlier run gave the same
    When its bytes are {"a":
    Then it is shown to be whole by a cut

  Scenario Outline: a digest that its head states
    Given an answer with <status> whose head states <digests>
    When its bytes are <bytes>
    Then it is shown to be whole by <sign>

    Examples:
      | status | digests                                   | bytes  | sign          |
      | 200    | content sha-256                           | answer | digest        |
      | 200    | content sha-512                           | answer | digest        |
      | 206    | content sha-256                           | answer | digest        |
      | 404    | content sha-512                           | answer | digest        |
      | 200    | content sha-256; coded                    | answer | digest        |
      | 200    | content sha-256, sha-512                  | answer | digest        |
      | 200    | content sha-256; content sha-512          | answer | digest        |
      | 200    | content sha-256 with a parameter          | answer | digest        |
      | 200    | representation sha-256                    | answer | digest        |
      | 206    | representation sha-256                    | answer | nothing       |
      | 201    | representation sha-256                    | answer | nothing       |
      | 200    | representation sha-256; coded             | answer | nothing       |
      | 200    | content sha-256                           | answe  | other bytes   |
      | 200    | content sha-256                           | none   | other bytes   |
      | 200    | representation sha-512                    | answe  | other bytes   |
      | 200    | content sha-256, wrong sha-512            | answer | other bytes   |
      | 200    | content sha-256; representation wrong sha-256 | answer | other bytes |
      | 200    | content md5                               | answer | nothing       |
      | 200    | content md5, sha-256                      | answer | digest        |
      | 200    | content short sha-256                     | answer | nothing       |
      | 200    | content bare sha-256                      | answer | nothing       |
      | 200    | content no base64 sha-256                 | answer | nothing       |
      | 200    | content empty sha-256                     | answer | nothing       |
      | 200    | content cut sha-256                       | answer | nothing       |
      | 200    | nothing                                   | answer | nothing       |

  Scenario: a digest of other bytes outweighs all else
    Given an answer with 200 whose head states json, content wrong sha-256
    And an earlier run gave the same
    When its bytes are {}
    Then it is shown to be whole by other bytes

  Scenario Outline: another run of the request
    Given an answer with 200 whose head states nothing
    And earlier runs gave <earlier>
    When its bytes are <bytes>
    Then it is shown to be whole by <sign>

    Examples:
      | earlier                | bytes  | sign         |
      | 200 answer             | answer | an equal run |
      | 200 ans, 200 answer    | answer | an equal run |
      | 200 answer of its own  | answer | nothing      |
      | 200 answer of its own, 200 answer | answer | an equal run |
      | 200 ans                | answer | nothing      |
      | 200 answer and more    | answer | nothing      |
      | 201 answer             | answer | nothing      |
      | 200 none               | none   | nothing      |
      | nothing                | answer | nothing      |

  Scenario Outline: a body that is the beginning of another run's is cut
    Given an answer with 200 whose head states nothing
    And an earlier run's longer body is kept: <earlier>
    When its bytes are <bytes>
    Then it is shown to be whole by <sign>

    Examples:
      | earlier | bytes  | sign    |
      | answer  | ans    | a cut   |
      | answer  | answer | nothing |
      | ans     | answer | nothing |
      | answer  | anser  | nothing |
      | answer  | none   | nothing |

  Scenario Outline: what a later run shows of an earlier body
    Given an answer with 200 whose head states nothing
    And earlier runs gave <earlier>
    When a later run gives <status> and <later>
    Then the earlier body was <shown>

    Examples:
      | earlier    | status | later  | shown         |
      | 200 answer | 200    | answer | whole         |
      | 200 ans    | 200    | answer | cut           |
      | 200 answer | 200    | ans    | neither shown |
      | 200 anser  | 200    | answer | neither shown |
      | 200 none   | 200    | answer | neither shown |
      | 200 ans    | 201    | answer | neither shown |

  Scenario Outline: a body is asked for again only if a run of the same length would end in time
    When a run took <took_s> s and <left_s> s are left
    Then another run <may> be asked for

    Examples:
      | took_s | left_s | may     |
      | 1.0    | 1.1    | may     |
      | 1.0    | 1.0    | may not |
      | 1.0    | 0.5    | may not |
