Feature: The adapter to the users' platform

  Scenario Outline: an invalid setting is reported in one line
    Given a settings file of the platform
    When its field <field> is <value>
    Then the node does not start, and the error names <named>

    Examples:
      | field                | value      | named                |
      | node-name            | missing    | node-name            |
      | zone                 | missing    | zone                 |
      | listen.frontend      | missing    | listen.frontend      |
      | listen.frontend      | here:80    | listen.frontend      |
      | listen.ready         | 10.0.0.1:0 | listen.ready         |
      | listen.control-plane | 10.0.0.1   | listen.control-plane |
      | platform.address     | missing    | platform.address     |
      | bounds.grace-s       | soon       | bounds.grace-s       |
      | bounds.retry-budget  | -1         | bounds.retry-budget  |
      | bounds.retry-budget  | nan        | bounds.retry-budget  |
      | bounds.grace-s       | 1e400      | bounds.grace-s       |
      | listen.frontend      | 10.0.0.1:8_0 | listen.frontend    |
      | listen.frontend      | 10.0.0.1:+80 | listen.frontend    |
      | platform.address     | 10.0.0.1:65536 | platform.address |

  Scenario: unknown settings are ignored and missing bounds have defaults
    Given a settings file of the platform
    When its field brand-new is 7
    Then the node has its name, and a grace period of 8 s

  Scenario: a settings file that is no text is reported
    Given a settings file that is no text
    Then the node does not start, and the error names ROOKSPRING_CONFIG

  Scenario: a missing settings file is reported
    When the node's process is started without a settings file
    Then it exits with code 2 and names ROOKSPRING_CONFIG

  Scenario Outline: wire formats are decoded to the project's types
    Given the example of <what>
    When it is decoded
    Then it gives <value> for <field>

    Examples:
      | what                    | field         | value    |
      | a route                 | objective_s   | 6.0      |
      | a route                 | repeatable    | True     |
      | a route                 | rank          | 2        |
      | a split route           | splits        | 90,10    |
      | an engine               | memory_mb     | 200000   |
      | an engine               | adapters_max  | 8        |
      | a model                 | memory_mb     | 65100    |
      | an entry                | orders taken  | unknown  |
      | an entry                | adapters      | m/a3     |
      | an entry with copies    | in memory     | m        |
      | an entry with copies    | on disk       | m,n      |
      | an entry                | on disk       | none     |
      | a draining entry        | leaving       | True     |
      | a report                | orders taken  | 2        |
      | a busy report           | loading       | True     |
      | a malformed report      | report        | None     |
      | a request               | adapter       | m/a3     |
      | a request               | prompt_tokens | 1460     |
      | a request               | shared part   | 91bd3f06 |
      | a request with one part | shared part   | 0        |

  Scenario Outline: a request counts as not run only if its endpoint states so
    Given an answer with status <status> and <headers>
    When it is read as the answer to request r1 from endpoint i1
    Then the verdict is <verdict>

    Examples:
      | status | headers             | verdict       |
      | 200    | id r1               | matches                  |
      | 200    | id r2               | foreign       |
      | 200    | no id               | foreign       |
      | 503    | id r1, not-executed | matches, not run         |
      | 503    | id r1               | matches                  |
      | 500    | id r1               | matches                  |
      | 504    | id r1               | matches                  |
      | 429    | id r1, not-executed | matches, not run         |
      | 421    | id r1               | matches, not run         |
      | 421    | id r1, instance i2  | matches, not run         |
      | 200    | id r1, closing      | matches                  |

  Scenario Outline: the leaving state of a report applies to the reporting process only
    Given an endpoint with start time 5, known to <known>
    When its report has the state <state> and the start time <start>
    Then the endpoint <status>

    Examples:
      | known | state    | start | status |
      | stay  | ready    | 5     | stays  |
      | stay  | draining | 5     | leaves |
      | leave | ready    | 5     | leaves |
      | leave | ready    | 6     | stays  |
      | leave | draining | 6     | leaves |
      | stay  | 7        | 5     | stays  |

  Scenario Outline: notices about the endpoint are read from response headers
    Given the headers of a <status> with <lines>
    Then its notice is: <notice>

    Examples:
      | status | lines                                                                           | notice                                                            |
      | 200    | Server-Leaving: 1                                                               | leaving                                                           |
      | 500    | server-leaving: 1                                                               | leaving                                                           |
      | 503    | Server-Leaving: 1; Retry-After: 2                                               | leaving, turned away, back-off 2 s                                |
      | 200    | Server-Leaving: 0                                                               | malformed server-leaving: 0                                       |
      | 200    | Server-Leaving: 0; Server-Leaving: 1                                            | leaving, malformed server-leaving: 0                              |
      | 200    | Connection: close                                                               | nothing                                                           |
      | 200    | X-Rookspring-Instance-Id: i1                                                    | nothing                                                           |
      | 421    | X-Rookspring-Instance-Id: i2                                                    | process i2, misdirected                                           |
      | 503    | Connection: close                                                               | turned away                                                       |
      | 503    | Retry-After: 3                                                                  | turned away, back-off 3 s                                         |
      | 429    | Retry-After: 3                                                                  | turned away, back-off 3 s                                         |
      | 200    | Retry-After: 3                                                                  | nothing                                                           |
      | 500    | Retry-After: 3                                                                  | nothing                                                           |
      | 503    | Retry-After: 0                                                                  | turned away, back-off 0 s                                         |
      | 503    | Retry-After: 0.25                                                               | turned away, back-off 0.25 s                                      |
      | 503    | Retry-After: -1                                                                 | turned away, malformed retry-after: -1                            |
      | 503    | Retry-After: nan                                                                | turned away, malformed retry-after: nan                           |
      | 503    | Retry-After: inf                                                                | turned away, malformed retry-after: inf                           |
      | 503    | Retry-After: soon                                                               | turned away, malformed retry-after: soon                          |
      | 503    | Retry-After: 99999999                                                           | turned away, back-off 1e+08 s                                     |
      | 503    | Retry-After: 3; Retry-After: 5                                                  | turned away, back-off 5 s                                         |
      | 503    | Retry-After: 3; Retry-After: soon                                               | turned away, back-off 3 s, malformed retry-after: soon            |
      | 503    | Date: Thu, 03 Dec 2026 05:00:00 GMT; Retry-After: Thu, 03 Dec 2026 05:00:04 GMT | turned away, back-off 4 s                                         |
      | 503    | Date: Thu, 03 Dec 2026 05:00:00 GMT; Retry-After: Thu, 03 Dec 2026 04:59:00 GMT | turned away, back-off 0 s                                         |
      | 503    | Retry-After: Thu, 03 Dec 2026 05:00:04 GMT                                      | turned away, malformed retry-after: Thu, 03 Dec 2026 05:00:04 GMT |
      | 200    | Server-Limit: 1.4                                                               | rate 1.4                                                          |
      | 500    | server-limit: 1.4                                                               | rate 1.4                                                          |
      | 503    | Server-Limit: 0.2; Retry-After: 2                                               | turned away, back-off 2 s, rate 0.2                               |
      | 200    | Server-Limit: 1.4; Server-Leaving: 1                                            | leaving, rate 1.4                                                 |
      | 200    | Server-Limit: 0                                                                 | rate 0                                                            |
      | 200    | Server-Limit: 1e9                                                               | rate 1e+09                                                        |
      | 200    | Server-Limit: -1                                                                | malformed server-limit: -1                                        |
      | 200    | Server-Limit: nan                                                               | malformed server-limit: nan                                       |
      | 200    | Server-Limit: inf                                                               | malformed server-limit: inf                                       |
      | 200    | Server-Limit: few                                                               | malformed server-limit: few                                       |
      | 200    | Server-Limit: 1_0                                                               | malformed server-limit: 1_0                                       |
      | 200    | Server-Limit:                                                                   | malformed server-limit:                                           |
      | 200    | Server-Limit: 3; Server-Limit: 2                                                | rate 2                                                            |
      | 200    | Server-Limit: 3; Server-Limit: few                                              | rate 3, malformed server-limit: few                               |

  Scenario Outline: a caller cannot set headers that only this system may send to an endpoint
    Given a caller's request that carries <header> twice, in two letter cases
    When its headers for an endpoint are built
    Then <header> is sent <times> times, and never with the caller's value

    Examples: dropped, and sent once if this system sets the header itself
      | header                        | times |
      | X-Rookspring-Hold             | 0     |
      | X-Rookspring-Pin-Ms           | 0     |
      | X-Rookspring-Kv-Backup        | 0     |
      | Kv-From                       | 0     |
      | Kv-Fetch                      | 0     |
      | X-Rookspring-Expect-Version   | 0     |
      | X-Rookspring-Expect-Instance  | 1     |
      | X-Rookspring-Request-Priority | 1     |
      | X-Rookspring-Deadline-Ms      | 1     |
      | Last-Event-Id                 | 1     |

  Scenario Outline: other headers of a caller are passed on unchanged
    Given a caller's request that carries <header> once
    When its headers for an endpoint are built
    Then <header> is sent with the caller's value

    Examples:
      | header                   |
      | X-Rookspring-Request-Id  |
      | X-Rookspring-Model       |
      | X-Rookspring-Token-Count |
      | X-Rookspring-Prefix-Hash |
      | X-Rookspring-Length-Hint |
      | Accept                   |

  Scenario: the platform's terms are used only in its own folder
    When the product's sources are searched for the platform's terms
    Then none is found

  Scenario: the folder does not shadow the standard library's module
    When Python is started at the root and imports platform
    Then it is the standard library's

  Scenario: a relay node imports only its own requirements
    When Python imports the platform's entry point
    Then only libraries of requirements/relay.in are imported

  Scenario: the folder is small, and the modules of a node have no circular imports
    Then platform/ is under a tenth of the product's code
    And no module of a node imports the module that assembles the node
