Feature: A body of the store is decoded so that one odd object spares the others

  Scenario Outline: one odd object in a list, a watch and an answer of its own
    When the odd object <object> is read in a list, in a watch and alone
    Then the sound objects of the list and of the watch are read
    And the odd object <is>

    Examples:
      | object                  | is                                         |
      | 2,000 levels            | has a value that is malformed at spec.x    |
      | 1,000,000 levels        | has a value that is malformed at spec      |
      | 2,000 objects           | has a value that is malformed at spec.a.a  |
      | 5,000 digits            | has a value that is malformed at spec.x    |
      | a fraction of 1e400     | has a value that is malformed at spec.x    |
      | no number               | has a value that is malformed at spec.x    |
      | half a pair             | has a value that is malformed at spec.x    |
      | a word                  | has a value that is malformed at spec      |
      | a missing value         | has a value that is malformed at spec      |
      | 65 bits                 | has a value with a float                   |
      | bytes that are no text  | has a value with a replaced character      |
      | a control character     | has a value                                |
      | brackets within a text  | has a value                                |
      | a field twice           | has a value                                |
      | deep status             | has a value                                |
      | a deep name             | is left out, and logged once with name     |
      | a name of 400 digits    | is left out, and logged once with name     |
      | an empty name           | is left out, and logged once with name     |
      | a name with CRLF        | is left out, and logged once with name     |
      | a long name             | is left out, and logged once with name     |
      | half a pair as name     | is left out, and logged once with name     |
      | no name                 | is left out, and logged once with name     |
      | a revision of text      | is left out, and logged once with revision |
      | a revision of digits    | has a value                                |
      | a negative revision     | is left out, and logged once with revision |
      | a revision of 400 digits | is left out, and logged once with revision |
      | a revision of 1e400     | is left out, and logged once with revision |
      | a true revision         | is left out, and logged once with revision |
      | no revision             | is left out, and logged once with revision |
      | metadata of a list      | is left out, and logged once with metadata |
      | an object of a list     | is left out, and logged once with metadata |
      | a number alone          | is left out, and logged once with metadata |

  Scenario Outline: a body without what a list or watch must have is a failed call
    When the body <body> answers a list, a watch, a read and a write
    Then each call fails as if there were no answer

    Examples:
      | body                                   |
      | []                                     |
      | 7                                      |
      | {}                                     |
      | {"items": 7, "events": 7, "as-of": 3}  |
      | {"items": null, "events": null}        |
      | {"items": {}, "events": {}, "as-of": 3} |
      | {"items": [], "events": []}            |
      | {"items": [], "events": [], "as-of": "x"} |
      | {"items": [], "events": [], "as-of": [3]} |
      | {"items": [], "events": [], "as-of": 1e400} |
      | {"items": [], "events": [], "as-of": -3} |
      | {"items": [                            |
      | ]                                      |
      | "\"\"\"                                |

  Scenario Outline: the answer to a write needs no more than a revision
    When the body <body> answers a list, a watch, a read and a write
    Then the write has the revision 6

    Examples:
      | body                                             |
      | {"metadata": {"revision": 6}}                    |
      | {"metadata": {"revision": 6, "name": 7}}         |
      | {"metadata": {"revision": 6}, "spec": 1e400}     |

  Scenario Outline: a list goes on past pages of odd objects
    Given a store whose second page has only <objects>
    When its objects are listed
    Then the sound objects of all pages are returned once

    Examples:
      | objects                       |
      | values nested 2,000 deep      |
      | names with a control character |
      | numbers of 5,000 digits       |

  Scenario Outline: a list that names nothing to continue after is a failed call
    Given a store whose second page has only <objects>
    When its objects are listed
    Then the call has failed

    Examples: each page but the last tells that more follow
      | objects               |
      | objects without names |
      | an empty list         |

  Scenario Outline: large and odd bodies are decoded in time
    Then a list of <count> objects of <kind> is decoded in <seconds> s

    Examples:
      | count | kind                       | seconds |
      | 7100  | the largest deployment     | 1.0     |
      | 5000  | values nested 40 deep      | 2.0     |
      | 5000  | numbers of 400 digits      | 2.0     |
      | 5000  | words                      | 3.0     |
      | 1     | 500,000 levels             | 2.0     |
      | 1     | a text without an end      | 1.0     |
      | 1     | 500,000 quoted quotes      | 1.0     |
