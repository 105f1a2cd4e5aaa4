@relay
Feature: A header whose value can't be read costs its request alone, and is named

  # Guards against a caller's request that gets a 500 for its header, and against an endpoint's
  # answer that is taken for no answer since a header beside it can't be read.

  Scenario Outline: a request with a number that can't be read is refused with the header's name
    Given a relay node with one endpoint that does: answer
    When a caller's request has the header <header> with <value>, and another follows
    Then the first gets 400 with the name of <header>, and never reaches the endpoint
    And the other is answered on the same connection

    Examples:
      | header                   | value               |
      | X-Rookspring-Deadline-Ms | soon                |
      | X-Rookspring-Deadline-Ms | -5                  |
      | X-Rookspring-Deadline-Ms | 1.5                 |
      | X-Rookspring-Deadline-Ms | 21 digits           |
      | X-Rookspring-Deadline-Ms | 400 digits          |
      | X-Rookspring-Deadline-Ms | 5000 digits         |
      | X-Rookspring-Deadline-Ms | a digit of no ASCII |
      | X-Rookspring-Token-Count | few,many            |
      | X-Rookspring-Token-Count | 10 digits           |
      | X-Rookspring-Token-Count | 5000 digits         |
      | X-Rookspring-Token-Count | 5,5000 digits       |
      | X-Rookspring-Token-Count | ,5                  |

  Scenario Outline: a request with a large or odd value that can be read, or that is only a hint, is served
    Given a relay node with one endpoint that does: answer
    When a caller's request has the header <header> with <value>, and another follows
    Then both are answered, and the endpoint got no deadline more than 100 ms above that of the route

    Examples:
      | header                   | value                |
      | X-Rookspring-Deadline-Ms | 18446744073709551615 |
      | X-Rookspring-Deadline-Ms | 000000900            |
      | X-Rookspring-Token-Count | 1460,80              |
      | X-Rookspring-Token-Count | 1460, 80             |
      | X-Rookspring-Token-Count | 1460                 |
      | X-Rookspring-Prefix-Hash | 5000 digits:1,a:2    |
      | X-Rookspring-Prefix-Hash | -5:1,a:2             |
      | X-Rookspring-Prefix-Hash | a:2                  |
      | Last-Event-Id            | 5000 digits          |
      | Resumes                  | 5000 digits          |

  Scenario Outline: an id of a prompt's part is a number of 64 bits, or none
    Then the part <part> has the id <id>

    Examples:
      | part             | id                   |
      | 5c1e07a2         | 1545471906           |
      | ffffffffffffffff | 18446744073709551615 |
      | 1ffffffffffffffff | 0                   |
      | -5               | 0                    |
      | 0x5              | 0                    |
      | 1_0              | 0                    |
      | zz               | 0                    |

  Scenario: a refusal carries its request's id unchanged, whatever letters it has
    Given a relay node with one endpoint that does: answer
    When a caller's request has an id with letters of no ASCII and an unknown route
    Then its answer has the same id, byte for byte

  Scenario Outline: an answer whose notice can't be read is passed on all the same
    Given a relay node with one endpoint that does: refuse
    When the endpoint's answers say <line>
    And a caller sends a unsafe request
    Then the answer is not run

    Examples:
      | line                                                          |
      | Retry-After: Mon, 01 Jan 99999 00:00:00 GMT                   |
      | Retry-After: Mon, 01 Jan 99999999999999999999 00:00:00 GMT    |
      | Retry-After: Mon, 01 Jan 2026 00:00:00 +999999999999          |
      | Retry-After: 1e400                                            |
      | Server-Limit: 1e308                                           |
      | Keep-Alive: timeout=99999999999999999999999999999999999999999 |

  Scenario Outline: a number of a notice is kept only where it can be meant
    Then the notice <header> of <value> is <read>

    Examples:
      | header       | value                         | read      |
      | Retry-After  | 2.5                           | 2.5       |
      | Retry-After  | 1e300                         | malformed |
      | Retry-After  | 5000 digits                   | malformed |
      | Retry-After  | nan                           | malformed |
      | Server-Limit | 3                             | 3.0       |
      | Server-Limit | 1e308                         | malformed |
      | Server-Limit | -1                            | malformed |

  Scenario Outline: digits are a number up to a number of digits
    Then <text> with <most> digits at most is <number>

    Examples:
      | text                 | most | number |
      | 15                   | 2    | 15     |
      | 015                  | 2    | none   |
      | 150                  | 2    | none   |
      | +5                   | 9    | none   |
      | 1_0                  | 9    | none   |
      | ²                    | 9    | none   |
      | ٣                    | 9    | none   |

  Scenario Outline: an idle time that can't be read counts as none stated
    Then a connection whose endpoint states an idle time of <value> is kept for <kept>

    Examples:
      | value       | kept                    |
      | 5           | a share of 5 s          |
      | 21 digits   | the time without a statement |
      | 5000 digits | the time without a statement |
      | -5          | the time without a statement |
