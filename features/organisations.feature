Feature: Whose a request is, until when, and how much it may run

  Scenario Outline: a request is its organisation's by its key, in whatever form it comes
    Given a configuration with organisations
    When a request comes with the headers: <headers>
    Then it is <whose>

    Examples:
      | headers                                              | whose                   |
      | Authorization: Token key-a1                          | of org-a                |
      | Authorization: Token key-a2                          | of org-a                |
      | authorization: token  key-b1                         | of org-b                |
      | Authorization: Token key-c1                          | refused 401 unknown_key |
      | Authorization: Bearer key-a1                         | refused 401 no_key      |
      | Authorization: Tokenkey-a1                           | refused 401 no_key      |
      | Authorization: Token                                 | refused 401 no_key      |
      | Authorization: key-a1                                | refused 401 no_key      |
      | X-Rookspring-Tenant: org-a                           | refused 401 no_key      |
      | Authorization: Token key-a1, Token key-b1            | refused 401 unknown_key |
      | Authorization: Token key-a1\|Authorization: Token key-b1 | refused 401 no_key  |
      | Authorization: Token key-a1\|Authorization: Token key-a1 | refused 401 no_key  |

  Scenario: no header makes a request another organisation's
    Given a configuration with organisations
    Then 300 drawn header lines give it to the holder of the whole key, or to nobody

  Scenario Outline: endpoints see the organisation, and no key
    Given a configuration <with> organisations
    When a request of <whose> goes to an endpoint with a key and another's name in its headers
    Then the endpoint sees <seen>

    Examples:
      | with    | whose  | seen               |
      | with    | org-a  | the name org-a     |
      | with    | nobody | neither            |
      | without | nobody | the key alone      |

  Scenario Outline: a malformed organisation leaves the configuration in force, and no key is told
    When a configuration comes in which <field> is <value>
    Then it is malformed, and the error names <named> and no key

    Examples:
      | field        | value            | named        |
      | name         | ""               | name         |
      | api-keys     | [1]              | api-keys     |
      | api-keys     | [""]             | api-keys     |
      | api-keys     | ["k", "key-b1"]  | one key      |
      | rate-per-s   | -1               | rate-per-s   |
      | burst        | -1               | burst        |
      | unit         | "bytes"          | unit         |
      | plain-tokens | -5               | plain-tokens |
      | name         | "org-b"          | twice        |

  Scenario: a key that may be newer than the configuration here is not denied yet
    Given a configuration with organisations
    When a request comes 0.4 s after the configuration was proved, with a key that is unknown
    Then it waits for a newer one
    And once that was proved after the request it is refused 401

  Scenario: an organisation's rank goes before its route's
    Given a configuration with organisations
    Then a request of org-a on a route of rank 1 has rank 0, and one of org-b rank 1

  Scenario Outline: a key that was taken away runs nothing past the bound, at any node
    Given <nodes> relay nodes with organisations that have run for 8 s
    When <trouble> for 9 s, and a key is taken away 1 s later
    Then no node lets that key in more than 5 s after it was taken away
    And 4 s after the trouble each node lets in the keys that are left, and 401 is said of that one

    Examples:
      | nodes | trouble                               |
      | 9     | nothing happens                       |
      | 9     | a node freezes                        |
      | 9     | a node is cut from the others and the store |
      | 9     | the store can't be reached            |
      | 69    | nothing happens                       |
      | 69    | a node freezes                        |
      | 69    | a relay freezes                       |
      | 69    | the relays of a data centre freeze    |
      | 69    | a node is cut from the store          |
      | 69    | a node is cut from the others         |
      | 69    | a node is cut from the others and the store |
      | 69    | a node hears nobody                   |
      | 69    | a relay is heard by nobody            |
      | 69    | the readers are cut from the store    |
      | 69    | a third is cut from the store         |
      | 69    | the store can't be reached            |
      | 69    | the store is slow                     |
      | 69    | watches hear nothing                  |
      | 69    | words of the relays take 4 s          |
      | 69    | all nodes are killed and started      |
      | 195   | nothing happens                       |
      | 195   | the readers are cut from the store    |

  Scenario: keys taken, given to another, and given back, with all troubles mixed
    Then 60 drawn stories of 13 nodes never let a key in past its bound

  Scenario: words that were long on their way prove no more than they did when they were asked for
    Given a node whose configuration was proved the newest at 100 s
    When at 110 s a word comes that was asked for at 104 s, of a proof that was 1 s old then
    Then it is proved at 103 s
    And a word on version 9, asked for at 108 s, proves nothing before version 9 is in force

  Scenario: a request that waited is not sent once its key is gone, or nothing proves it
    Given a relaying node with organisations and a request of org-a that waits
    When its key is taken away, and room comes
    Then it ended with 401 key_taken, and its tokens are given back
    Given a relaying node with organisations and a request of org-a that waits
    When nothing has proved the configuration for 5 s, and room comes
    Then it ended with 503 unproved, and its tokens are given back

  Scenario Outline: an organisation runs what it is allotted, over all nodes, and no more
    Given <nodes> relay nodes with organisations that have run for 9 s
    When an organisation with <rate> tokens a second asks for <usual> of its limit for 8 s, then for <surge> times as much for 12 s
    Then no window of 8 s has run more than the bound
    And at least <served> of what it might have run has run

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
    And in the 8 s after 2 s at least 0.7 of what it might have run has run

    Examples:
      | trouble                      |
      | its owner is killed          |
      | its owner freezes            |
      | a third of the nodes is cut from the others |
      | its limit falls to a half    |

  Scenario Outline: the bound holds though all that knew what ran are gone
    Given 69 relay nodes with organisations that have run for 9 s
    When an organisation with <rate> tokens a second asks for <usual> of its limit for 8 s, and then for <surge> times as much, and after <seconds> s <who> are killed and start 0.8 s later
    Then no window of 8 s has run more than the bound

    Examples:
      | rate  | usual | surge | seconds | who                 |
      | 54000 | 0.4   | 7.5   | 4       | all nodes           |
      | 54000 | 0.2   | 7.5   | 3       | all nodes           |
      | 54000 | 0.9   | 1.0   | 6       | all nodes           |
      | 54000 | 0.4   | 7.5   | 4       | half of the nodes   |
      | 54000 | 0.4   | 7.5   | 4       | all relays          |
      | 54000 | 0.4   | 7.5   | 1       | all nodes           |

  Scenario: what did not run is given back
    Given 20 relay nodes with organisations that have run for 9 s
    When an organisation asks for 2 times its limit while no endpoint has room
    Then nothing counts against it a second later

  Scenario: nothing is asked where requests need no keys
    Given 69 relay nodes that have run for 8 s
    Then no node has asked how new the configuration is

  Scenario Outline: an owner counts from when it last became one
    Given a node that has decided on an organisation since 10 s
    When <what>, and it is asked again at 20 s
    Then it decides since <since> s

    Examples:
      | what                                          | since |
      | it owns it all the while                      | 10    |
      | another owns it from 12 to 15 s               | 20    |
      | it stands still from 12 to 19.9 s             | 20    |
