@relay
Feature: Entries that another writer left name no endpoint, and the others hold

  Scenario Outline: an entry that is not as it ought to be names the field and no endpoint
    Given an entry of a model server
    When its field <field> reads <value>
    Then it names no endpoint, and the error names <told>

    Examples:
      | field     | value            | told        |
      | service   | null             | service     |
      | service   | missing          | service     |
      | service   | ""               | service     |
      | address   | null             | address     |
      | address   | "somewhere"      | address     |
      | address   | 7                | address     |
      | zone      | missing          | zone        |
      | slots     | -3               | slots       |
      | slots     | true             | slots       |
      | slots     | 1e400            | slots       |
      | slots     | "8"              | slots       |
      | state     | "retired"        | state       |
      | state     | null             | state       |
      | models    | "abc"            | models      |
      | models    | [7]              | models |
      | models    | [{"name": "m"}]  | version     |
      | models    | [{"name": "m", "version": 1, "adapters": "abc"}] | adapters |
      | available | []               | available   |
      | available | {"on-disk": 3}   | on-disk     |
      | born      | 1.5              | born        |
      | born      | "now"            | born        |
      | itself    | null             | object      |
      | itself    | [1, 2]           | object      |

  Scenario: no bytes and no shapes of an entry, a report or a list get past the reader
    Then 400 drawn entries and 400 drawn reports are read whole, or refused
    And 400 drawn bodies of the store are read, or refused as a whole
    And a list whose one row has odd bytes gives the others

  Scenario Outline: 7,100 entries are checked in little time
    Then 7100 entries with <models> models and <adapters> adapters are read in <seconds> s

    Examples:
      | models | adapters | seconds |
      | 3      | 8        | 0.6     |

  Scenario Outline: other writers' entries beside good ones
    Given two endpoints, and entries of another writer <when>
    When a third endpoint comes
    Then all three endpoints serve, and no other is used
    And each bad entry is logged once, and counted

    Examples:
      | when                 |
      | before the node starts |
      | while it watches     |

  Scenario Outline: an entry that was good and turns bad
    Given two endpoints, and entries of another writer while it watches
    When the first endpoint's entry is overwritten <and>
    Then it serves for 1 s more, and <after>

    Examples:
      | and                              | after                      |
      | and written anew by the endpoint | it serves on               |
      | for good                         | no request goes there 4 s later |

  Scenario: a list in pages goes on past odd names and rows that cannot be read
    Given a store that lists 3 rows a page, with names that are odd and rows that are none
    When the endpoints are listed
    Then each good row is found once
