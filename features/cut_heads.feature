@relay
Feature: Answers that are cut anywhere, at a connection

  # Guards against answers of which a part is missing and that are passed on as whole.

  Scenario Outline: a sound answer is whole with its last byte, and not before
    Given an own connection to an endpoint, <before>
    When its endpoint closes after each byte of each sound answer, sent <reads>
    Then none is whole before its last byte, and each is whole with it

    Examples:
      | before                            | reads         |
      | that is new                       | at once       |
      | that is new                       | byte by byte  |
      | whose request is not sent whole   | at once       |
      | after a sound answer              | at once       |
      | after a sound answer              | byte by byte  |
      | after a sound answer in chunks    | byte by byte  |
      | after an answer without a body    | at once       |
      | after an interim head             | byte by byte  |
      | after an answer of another request | byte by byte |

  Scenario Outline: a faulty answer is never whole
    Given an own connection to an endpoint, <before>
    When its endpoint closes after each byte of each faulty answer, sent <reads>
    Then none is whole

    Examples:
      | before                            | reads         |
      | that is new                       | at once       |
      | that is new                       | byte by byte  |
      | after a sound answer              | at once       |
      | after an interim head             | byte by byte  |

  Scenario Outline: an answer that its close alone ends is cut by a reset
    Given an own connection to an endpoint, <before>
    When its endpoint resets the connection after each byte of each sound answer, sent at once
    Then only those are whole that a length or chunks end

    Examples:
      | before               |
      | that is new          |
      | after a sound answer |

  Scenario: the answer to a HEAD is whole with its head, and not before
    Given an own connection to an endpoint, that is new
    When its endpoint closes after each byte of each sound answer to a HEAD
    Then none is whole before the last byte of its head, and each is whole with it
