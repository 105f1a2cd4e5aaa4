Feature: Odd objects among the product's own stop no loop that reads them

  Scenario Outline: a publication that can't be read is a failed read, which is logged
    Given a store of the product whose <object> has the value <value>
    When the publication is read
    Then the read fails, the platform does not count as unreachable, and a line names <object>

    Examples:
      | object  | value                                           |
      | head    | null                                            |
      | head    | [1]                                             |
      | head    | {"revision": 1, "epoch": 1}                     |
      | head    | {"revision": "x", "epoch": 1, "shards": {}}     |
      | head    | {"revision": 1, "epoch": 1, "shards": [1]}      |
      | head    | {"revision": 1e400, "epoch": 1, "shards": {}}   |
      | shard-1 | null                                            |
      | shard-1 | {"entries": [1]}                                |
      | shard-1 | {"entries": {"a": []}}                          |
      | shard-1 | {"entries": {"a": [["k"], 1, "x"]}}             |

  Scenario: an odd resource spares the others, and the one that is known stays
    Given the resources a and b, of which b becomes odd
    Then a follows its changes, b stays as it was known, and b is logged once

  Scenario Outline: intents that can't be read delay all orders until they can have arrived
    Given a store of the product whose intent of e1 has the value <value>
    When a lease holder reads the intents
    Then it waits for late orders, and then takes the intents that it can read

    Examples:
      | value                             |
      | null                              |
      | {"rows": 7}                       |
      | {"rows": [["load", "m"]]}         |
      | {"rows": [["load", "m", "1", "x"]]} |
      | {"rows": [["load", "m", "1", 1e300]]} |
