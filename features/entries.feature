@relay
Feature: Malformed entries are rejected, and other entries still apply

  Scenario Outline: an invalid entry is rejected with an error that names the field
    Given an entry of a model server
    When its field <field> is the JSON value <value>
    Then it is rejected, and the error names <name>

    Examples:
      | field     | value                                            | name      |
      | service   | null                                             | service   |
      | service   | missing                                          | service   |
      | service   | ""                                               | service   |
      | address   | null                                             | address   |
      | address   | "somewhere"                                      | address   |
      | address   | 7                                                | address   |
      | zone      | missing                                          | zone      |
      | slots     | -3                                               | slots     |
      | slots     | true                                             | slots     |
      | slots     | 1e400                                            | slots     |
      | slots     | "8"                                              | slots     |
      | state     | "retired"                                        | state     |
      | state     | null                                             | state     |
      | models    | "abc"                                            | models    |
      | models    | [7]                                              | models    |
      | models    | [{"name": "m"}]                                  | version   |
      | models    | [{"name": "m", "version": 1, "adapters": "abc"}] | adapters  |
      | available | []                                               | available |
      | available | {"on-disk": 3}                                   | on-disk   |
      | born      | 1.5                                              | born      |
      | born      | "now"                                            | born      |
      | itself    | null                                             | object    |
      | itself    | [1, 2]                                           | object    |

  Scenario Outline: an entry with any version is accepted, and only text counts as one
    Given an entry of a model server
    When its field version is the JSON value <value>
    Then it is accepted with the version "<version>"

    Examples:
      | value   | version |
      | "v1.1"  | v1.1    |
      | ""      |         |
      | missing |         |
      | 7       |         |
      | null    |         |

  Scenario: random entries, reports and lists are decoded or rejected without other errors
    Then 400 random entries and 400 random reports are decoded or rejected
    And 400 random response bodies of the store are decoded or rejected
    And a list with invalid bytes in one row still yields the other rows

  Scenario Outline: entries of the largest deployment are checked quickly
    Then 7100 entries with <models> models and <adapters> adapters are read in <seconds> s

    Examples:
      | models | adapters | seconds |
      | 3      | 8        | 0.6     |

  Scenario Outline: malformed entries do not affect valid ones
    Given two endpoints, and malformed entries that are written <when>
    When a third endpoint starts
    Then all three endpoints serve requests, and no other endpoint exists
    And each malformed entry is logged once, and counted

    Examples:
      | when                   |
      | before the node starts |
      | while the node watches |

  Scenario Outline: a valid entry becomes malformed
    Given two endpoints, and malformed entries that are written while the node watches
    When the first endpoint's entry is overwritten with a malformed one <and>
    Then its endpoint is still listed, and <after>

    Examples:
      | and                           | after                      |
      | and rewritten by the endpoint | it is listed 4 s later     |
      | permanently                   | it is not listed 4 s later |

  Scenario: a paged list continues past unusual names and malformed rows
    Given a store that lists 3 rows a page, with unusual names and malformed rows
    When the endpoints are listed
    Then each valid row is returned once
