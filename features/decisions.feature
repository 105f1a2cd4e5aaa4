Feature: Decisions of one node, event by event

  Scenario Outline: an unrepeatable request runs at most once
    Given a node with a service and a session
    When the key 1 is sent and <events>
    Then the answers are <answers> and it was sent <sent> times

    Examples: faults of one key
      | events                                | answers             | sent |
      | it succeeds                           | ran                 | 1    |
      | it succeeds, sent again               | ran replay          | 1    |
      | sent again, it succeeds               | ran replay          | 1    |
      | it breaks after sending               | unknown             | 1    |
      | it breaks after sending, sent again   | unknown unknown     | 1    |
      | it cannot connect                     | ran                 | 2    |
      | the endpoint says not run             | ran                 | 2    |
      | the endpoint is leaving               | ran                 | 2    |
      | it succeeds, sent with another body   | ran not_run         | 1    |
      | sent again, it breaks after sending   | unknown unknown     | 1    |
      | its caller leaves, sent again, it succeeds | replay         | 1    |
      | its session is forgotten, sent again  | unknown             | 1    |
      | it succeeds, 300 others follow, sent again | ran unknown    | 1    |

  Scenario Outline: a request ends with its true outcome
    Given a node with a model on two runners
    When a request is sent and <events>
    Then the answers are <answers> and it was sent <sent> times

    Examples:
      | events                                             | answers | sent |
      | it succeeds                                        | ran     | 1    |
      | it cannot connect, it succeeds                     | ran     | 2    |
      | it breaks after sending, it succeeds               | ran     | 2    |
      | 40 tokens come, it breaks after sending, it succeeds | ran   | 2    |
      | 40 tokens come, it breaks 5 times, it succeeds     | ran     | 6    |
      | it breaks after sending, no time is left, it breaks after sending | unknown | 2 |
      | no time is left, it cannot connect                 | not_run | 1    |

  Scenario Outline: an isolated node refuses new requests after a grace period
    Given a node with a model on two runners
    When it has reached <whom> for <seconds> seconds and a request is sent
    Then the answers are <answers> and it was sent <sent> times

    Examples:
      | whom         | seconds | answers | sent |
      | nobody       | 5       | ran     | 1    |
      | nobody       | 20      | not_run | 0    |
      | the platform | 20      | ran     | 1    |
      | a node       | 20      | ran     | 1    |

  Scenario Outline: chunks of a stream are passed on once and in order
    Given a stream guard at offset <offset>
    When the chunks <chunks> come
    Then <text> is passed on

    Examples: attempt:offset:tokens
      | offset | chunks                  | text   |
      | 0      | 1:0:ab 1:2:cd           | abcd   |
      | 0      | 1:0:ab 1:0:ab 1:2:c     | abc    |
      | 0      | 1:0:ab 1:1:bcd          | abcd   |
      | 0      | 1:0:ab 0:2:xx 1:2:c     | abc    |
      | 3      | 1:3:de                  | de     |
      | 3      | 1:0:abcde               | de     |
      | 0      | 1:0:ab 1:5:xx           | a gap  |

  Scenario Outline: the lease changes its holder only if that has given it up or is paused for too long
    Given two nodes that see one lease
    When the lease goes through: <events>
    Then <holder> holds it at epoch <epoch>

    Examples:
      | events                                                | holder  | epoch |
      | one takes it                                          | one     | 1     |
      | one takes it, 5 seconds pass                          | one     | 1     |
      | one takes it, one is paused for 20 seconds            | two     | 2     |
      | one takes it, one is paused for 20 seconds, one wakes | two     | 2     |
      | one takes it, one gives it up, 3 seconds pass         | two     | 2     |
      | one writes it without an answer, 3 seconds pass       | one     | 1     |
      | both write it at once                                 | one     | 1     |

  Scenario Outline: the same memory is never reserved twice
    Given a ledger of 100 GB whose endpoint <checks> orders
    When the ledger goes through: <events>
    Then <free> GB may be reserved

    Examples:
      | checks         | events                                                          | free |
      | checks         | nothing happens                                                 | 90   |
      | checks         | 30 GB are ordered                                               | 60   |
      | checks         | 30 GB are ordered, no answer comes, a report is without it      | 60   |
      | checks         | 30 GB are ordered, it is accepted, an old report is without it  | 60   |
      | checks         | 30 GB are ordered, it is accepted, a report shows it loading    | 60   |
      | checks         | 30 GB are ordered, it is refused                                | 90   |
      | checks         | 30 GB are ordered, a report has a later token without it        | 90   |
      | checks         | a report holds 50 GB of unknown                                 | 40   |
      | does not check | 30 GB are ordered, it is given up                               | 60   |
      | does not check | 30 GB are ordered, it is given up, 40 seconds pass, a report is without it | 90 |
      | does not check | 30 GB are ordered, it is given up, a report is without it       | 60   |
      | does not check | 30 GB are ordered, the endpoint restarts                        | 60   |
      | checks         | 30 GB are ordered, the endpoint restarts                        | 90   |
      | does not check | 30 GB are ordered, it is given up, a report shows it undeclared | 60   |

  Scenario Outline: a new lease holder gives orders only after a report that was made behind its fence
    Given a ledger of 100 GB whose endpoint <checks> orders
    When the ledger goes through: <events>
    Then it is <state> for orders

    Examples:
      | checks         | events                                                         | state     |
      | checks         | nothing happens                                                | not ready |
      | checks         | it is sealed                                                   | not ready |
      | checks         | it is sealed, an old report is without it                      | not ready |
      | checks         | it is sealed, a report shows the seal                          | ready     |
      | checks         | it is sealed, a report shows the seal, the endpoint restarts   | not ready |
      | does not check | it is claimed                                                  | not ready |
      | does not check | it is claimed, an old report is without it                     | not ready |
      | does not check | it is claimed, a report is without it                          | ready     |

  Scenario Outline: the intent record of an endpoint that does not check orders lists all that may still arrive
    Given a ledger of 100 GB whose endpoint does not check orders
    When the ledger goes through: <events>
    Then its record lists <count> orders

    Examples:
      | events                                                      | count |
      | nothing happens                                             | 0     |
      | 30 GB are ordered                                           | 1     |
      | 30 GB are ordered, it is accepted                           | 1     |
      | 30 GB are ordered, it is given up, 10 GB more are ordered   | 2     |
      | 30 GB are ordered, it is given up, 40 seconds pass, a report is without it | 0 |

  Scenario Outline: a team's limit is divided among nodes by their demand
    Given a team with 100 requests a second over <nodes> nodes
    When the demand is <demand>
    Then the admitted rate is between <least> and <most>

    Examples:
      | nodes | demand      | least | most |
      | 1     | 300         | 90    | 112  |
      | 2     | 300 300     | 85    | 120  |
      | 3     | 300 0 0     | 75    | 115  |
      | 3     | 20 20 20    | 55    | 61   |

  Scenario: retries are limited to a share of successes
    Given a retry budget
    When 1000 requests succeed and 1000 fail
    Then at most 110 retries were allowed
