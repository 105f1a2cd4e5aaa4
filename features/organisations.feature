Feature: Keys of organisations, their revocation, and usage limits

  Scenario Outline: the key of a request, in any valid form, decides its organisation
    Given a configuration with organisations
    When a request arrives with the headers: <headers>
    Then it <result>

    Examples:
      | headers                                                  | result                     |
      | Authorization: Token key-a1                              | belongs to org-a           |
      | Authorization: Token key-a2                              | belongs to org-a           |
      | authorization: token  key-b1                             | belongs to org-b           |
      | Authorization: Token key-c1                              | is refused 401 unknown_key |
      | Authorization: Bearer key-a1                             | is refused 401 no_key      |
      | Authorization: Tokenkey-a1                               | is refused 401 no_key      |
      | Authorization: Token                                     | is refused 401 no_key      |
      | Authorization: key-a1                                    | is refused 401 no_key      |
      | X-Rookspring-Tenant: org-a                               | is refused 401 no_key      |
      | Authorization: Token key-a1, Token key-b1                | is refused 401 unknown_key |
      | Authorization: Token key-a1\|Authorization: Token key-b1 | is refused 401 no_key      |
      | Authorization: Token key-a1\|Authorization: Token key-a1 | is refused 401 no_key      |

  Scenario: no header assigns a request to another organisation
    Given a configuration with organisations
    Then 300 random header lines assign it to the organisation of the whole key, or to none

  Scenario Outline: endpoints receive the name of the organisation, and no key
    Given a configuration <with> organisations
    When a request of <whose> is sent to an endpoint, with a key and another organisation's name in its headers
    Then the endpoint receives <seen>

    Examples:
      | with    | whose  | seen           |
      | with    | org-a  | the name org-a |
      | with    | nobody | neither        |
      | without | nobody | the key alone  |

  Scenario Outline: a configuration with a malformed organisation is rejected, and the error reveals no key
    When a configuration arrives in which <field> is <value>
    Then it is rejected as malformed, and the error names <named> and no key

    Examples:
      | field        | value           | named        |
      | name         | ""              | name         |
      | api-keys     | [1]             | api-keys     |
      | api-keys     | [""]            | api-keys     |
      | api-keys     | ["k", "key-b1"] | one key      |
      | rate-per-s   | -1              | rate-per-s   |
      | burst        | -1              | burst        |
      | unit         | "bytes"         | unit         |
      | plain-tokens | -5              | plain-tokens |
      | name         | "org-b"         | twice        |

  Scenario: a key that may be newer than the node's configuration is not refused with 401 yet
    Given a configuration with organisations
    When a request with an unknown key arrives 0.4 s after the configuration was proved the newest
    Then it waits for a newer proof
    And once the configuration was proved the newest after its arrival, it gets 401

  Scenario: an organisation's rank overrides that of the route
    Given a configuration with organisations
    Then a request of org-a on a route of rank 1 has rank 0, and one of org-b rank 1

  Scenario Outline: a revoked key runs nothing after the bound, at any node
    Given <nodes> relay nodes with organisations that have run for 8 s
    When <trouble> for 9 s, and a key is revoked 1 s later
    Then no node accepts that key more than 5 s after it was revoked
    And 4 s after the fault each node accepts the remaining keys, and refuses that one with 401

    Examples:
      | nodes | trouble                                     |
      | 9     | nothing happens                             |
      | 9     | a node freezes                              |
      | 9     | a node is cut from the others and the store |
      | 9     | the store can't be reached                  |
      | 69    | nothing happens                             |
      | 69    | a node freezes                              |
      | 69    | a relay freezes                             |
      | 69    | the relays of a data centre freeze          |
      | 69    | a node is cut from the store                |
      | 69    | a node is cut from the others               |
      | 69    | a node is cut from the others and the store |
      | 69    | a node receives no messages                 |
      | 69    | a relay's messages are lost                 |
      | 69    | the readers are cut from the store          |
      | 69    | a third of the nodes is cut from the store  |
      | 69    | the store can't be reached                  |
      | 69    | the store is slow                           |
      | 69    | watches deliver nothing                     |
      | 69    | messages of the relays take 4 s             |
      | 69    | all nodes are killed and started            |
      | 195   | nothing happens                             |
      | 195   | the readers are cut from the store          |

  Scenario: keys are revoked, moved to another organisation and restored, with all faults mixed
    Then 60 random runs of 13 nodes never accept a key after its bound

  Scenario: a delayed answer proves the configuration for the time of its question only
    Given a node whose configuration was proved the newest at 100 s
    When at 110 s an answer arrives to a question of 104 s, with a proof that was 1 s old
    Then it is proved at 103 s
    And a proof of version 9, asked for at 108 s, counts only once version 9 is in force

  Scenario: a request that waited is not sent once its key is revoked, or its configuration is stale
    Given a relaying node with organisations and a request of org-a that waits
    When its key is revoked, and an endpoint has room
    Then it ended with 401 key_taken, and its tokens are refunded
    Given a relaying node with organisations and a request of org-a that waits
    When the configuration has not been proved for 5 s, and an endpoint has room
    Then it ended with 503 unproved, and its tokens are refunded

  Scenario Outline: an organisation can use its allotment, over all nodes, and no more
    Given <nodes> relay nodes with organisations that have run for 9 s
    When an organisation with <rate> tokens a second asks for <usual> of its limit for 8 s, then for <surge> times as much for 12 s
    Then no window of 8 s has run more than the bound
    And at least <served> of the permitted usage has run

    Examples:
      | nodes | rate  | usual | surge | served |
      | 8     | 2700  | 0.4   | 7.5   | 0.9    |
      | 8     | 85000 | 0.2   | 7.5   | 0.9    |
      | 20    | 2700  | 0.4   | 7.5   | 0.9    |
      | 20    | 85000 | 0.2   | 7.5   | 0.9    |
      | 69    | 2700  | 0.4   | 7.5   | 0.9    |
      | 69    | 85000 | 0.2   | 7.5   | 0.9    |
      | 69    | 20000 | 0.9   | 1.0   | 0.98   |
      | 195   | 20000 | 0.3   | 7.5   | 0.9    |

  Scenario Outline: the bound holds while nodes fail
    Given 69 relay nodes with organisations that have run for 9 s
    When an organisation with 20000 tokens a second asks for 2 times its limit, and after 10 s <trouble>
    Then no window of 8 s has run more than the bound
    And in the 8 s after 2 s at least 0.7 of the permitted usage has run

    Examples:
      | trouble                                     |
      | its owner is killed                         |
      | its owner freezes                           |
      | a third of the nodes is cut from the others |
      | its limit falls to a half                   |

  Scenario Outline: the bound holds when nodes that know the recent usage restart
    Given 69 relay nodes with organisations that have run for 9 s
    When an organisation with <rate> tokens a second asks for <usual> of its limit for 8 s, and then for <surge> times as much, and after <seconds> s <who> are killed and start 0.8 s later
    Then no window of 8 s has run more than the bound

    Examples:
      | rate  | usual | surge | seconds | who               |
      | 54000 | 0.4   | 7.5   | 4       | all nodes         |
      | 54000 | 0.2   | 7.5   | 3       | all nodes         |
      | 54000 | 0.9   | 1.0   | 6       | all nodes         |
      | 54000 | 0.4   | 7.5   | 4       | half of the nodes |
      | 54000 | 0.4   | 7.5   | 4       | all relays        |
      | 54000 | 0.4   | 7.5   | 1       | all nodes         |

  Scenario: units of requests that did not run are refunded
    Given 20 relay nodes with organisations that have run for 9 s
    When an organisation asks for 2 times its limit while no endpoint has room
    Then no usage is counted for it a second later

  Scenario: no node asks for proofs if requests need no keys
    Given 69 relay nodes that have run for 8 s
    Then no node has asked how new the configuration is

  Scenario Outline: ownership starts anew after a gap
    Given a node that has owned an organisation since 10 s
    When <what>, and it decides again at 20 s
    Then it has owned it since <since> s

    Examples:
      | what                                 | since |
      | it remains the owner                 | 10    |
      | another node owns it from 12 to 15 s | 20    |
      | it is frozen from 12 to 19.9 s       | 20    |
