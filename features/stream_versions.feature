Feature: Decisions on streams at services of several software versions

  Scenario Outline: a stream that broke off goes on only at the version that began it
    Given a node with the endpoints: <endpoints>
    When a resumable stream begins at a1 and breaks off after <events> events
    Then <what>

    Examples:
      | endpoints                            | events | what                                   |
      | a1 at v1, a2 at v1, b1 at v2         | 3      | it goes on at a2                       |
      | a1 at v1, b1 at v2                   | 3      | it goes on at a1                       |
      | a1 at v1 leaving, b1 at v2           | 3      | it ends as 502 unknown: version_gone   |
      | a1 at v1 leaving, b1 at v2           | 0      | it goes on at b1                       |
      | a1 at v1 leaving, b1 at v1           | 3      | it goes on at b1                       |
      | a1 at none, b1 at none               | 3      | it goes on at b1                       |
      | a1 at v1 leaving, a2 at v1 full, b1 at v2 | 3 | it waits                               |

  Scenario Outline: an endpoint that may have restarted is of no known version
    Given a node with the endpoints: <endpoints>, each with its start time
    When a resumable stream begins at a1 and breaks off, and a2 <then>
    Then <what>

    Examples:
      | endpoints                            | then                                        | what                                   |
      | a1 at v1 leaving, a2 at v1, b1 at v2 | reports its start time                      | it goes on at a2                       |
      | a1 at v1 leaving, a2 at v1, b1 at v2 | reports a later start time                  | it ends as 502 unknown: version_gone   |
      | a1 at v1 leaving, a2 at v1, b1 at v2 | was refused a connection                    | it ends as 502 unknown: version_gone   |
      | a1 at v1 leaving, a2 at v1, b1 at v2 | was refused one, then reports its start time | it goes on at a2                      |
      | a1 at v1 leaving, a2 at v1, b1 at v2 | is listed at v2 with a later start time     | it ends as 502 unknown: version_gone   |
      | a1 at v1 leaving, a2 at v1           | reports a later start time                  | it goes on at a2                       |

  Scenario Outline: where entries may be old, a connection leads to what they describe if it is older
    Given a node with the endpoints: <endpoints>
    When entries were last asked for <asked> s ago, and the store <state>
    Then a connection that was opened <opened> s ago <leads>

    Examples:
      | endpoints              | asked | state                        | opened | leads                     |
      | a1 at v1, b1 at v2     | 1     | answers                      | 0.1    | leads to what they say    |
      | a1 at v1, b1 at v2     | 3.1   | answers                      | 0.1    | may lead to another       |
      | a1 at v1, b1 at v2     | 3.1   | answers                      | 3.7    | leads to what they say    |
      | a1 at v1, b1 at v2     | 1     | is away since 0.5 s          | 0.1    | may lead to another       |
      | a1 at v1, b1 at v2     | 1     | is away since 0.5 s          | 6.0    | may lead to another       |
      | a1 at v1, b1 at v2     | 1     | is away since 0.5 s          | 6.2    | leads to what they say    |
      | a1 at v1, b1 at v2     | 0.1   | is back since 1.9 s after 1 s | 1     | may lead to another       |
      | a1 at v1, b1 at v2     | 0.1   | is back since 2.1 s after 1 s | 1     | leads to what they say    |
      | a1 at v1, b1 at v2     | 1.5   | is back since 2.1 s after 1 s | 1     | may lead to another       |
      | a1 at v1, b1 at v2     | 1.5   | is back since 3.6 s after 1 s | 1     | leads to what they say    |
      | a1 at v1, b1 at v2     | 0.1   | went away again after 1 s    | 2      | may lead to another       |
      | a1 at v1, b1 at v1     | 9     | is away since 8 s            | 0.1    | leads to what they say    |

  Scenario: where the endpoint reports the start of its process, its report shows what it is
    Given a node with the endpoints: a1 at v1, b1 at v2, each with its start time
    When entries were last asked for 9 s ago, and the store is away since 8 s
    Then a connection that was opened 0.6 s ago leads to what they say, once a1 has reported

  Scenario: an endpoint whose process is doubted for a stream is not tried again for it
    Given a node with the endpoints: a1 at v1, a2 at v1, a3 at v1, b1 at v2
    When a resumable stream begins at a1 and breaks off, and each endpoint is doubted as it is tried
    Then each of v1 was tried once, and it ends as 502 unknown: version_gone

  Scenario: a call of the store that fails for another kind leaves entries as current as they are
    Given a node with the endpoints: a1 at v1, b1 at v2
    When entries were last asked for 1 s ago, and the store answers
    And a call of the store for nodes fails
    Then a connection that was opened 0.1 s ago leads to what they say

  Scenario: a stream that begins at what may be another process has no known origin
    Given a node with the endpoints: a1 at v1, a2 at v1, b1 at v2
    When entries were last asked for 9 s ago, and the store is away since 8 s
    And a resumable stream begins at a1 on a new connection and breaks off after 3 events
    Then it ends as 502 unknown: version_unknown

  Scenario Outline: a stream is of the version that its endpoint's entry has as it is sent
    Given a node with the endpoints: a1 at v1, a2 at v1, b1 at v2
    When a stream is chosen to go to a1, which is listed at <version> as it is sent, and breaks off
    Then it goes on at <endpoint>

    Examples:
      | version | endpoint |
      | v1      | a2       |
      | v2      | b1       |

  Scenario Outline: a stream that has begun before its node could know that entries were old
    Given a node with the endpoints: a1 at v1, a2 at v1, b1 at v2
    When a stream begins at a1 on a connection of <opened> s, and <later> s later <trouble>
    Then <what>

    Examples:
      | opened | later | trouble               | what                                    |
      | 0      | 0.5   | calls of the store fail | it ends as 502 unknown: version_unknown |
      | 0      | 3.0   | the store is silent   | it ends as 502 unknown: version_unknown |
      | 0      | 3.0   | entries are read      | it goes on at a2                        |
      | 0      | 0.5   | nothing has happened  | it goes on at a2                        |
      | 1      | 0.5   | calls of the store fail | it goes on at a2                      |
      | 0      | 0.5   | calls of the store fail | owners hear of v1, and then of ?        |

  Scenario: a stream that waits for its version holds up no other request
    Given a node with the endpoints: a1 at v1 leaving, a2 at v1 full, b1 at v2
    When a resumable stream begins at a1 and breaks off after 3 events
    And another request for the same target arrives
    Then the other one is sent to b1, and the stream waits

  Scenario: an owner of slots, which tells no versions apart, isn't asked where several serve
    Given a node with the endpoints: a1 at v1, a2 at v1, b1 at v2
    When a resumable stream begins at a1 and breaks off, and owners grant slots
    Then no owner is asked, and it goes on at a2

  Scenario Outline: a version that has gone counts while its streams may be taken up again
    Given a node with the endpoints: a1 at v1, b1 at v2
    When a1 is gone for <seconds> s
    Then the service has <how many>

    Examples:
      | seconds | how many         |
      | 1       | several versions |
      | 119     | several versions |
      | 121     | one version      |

  Scenario Outline: the version of a stream is told with its first event, where versions differ
    Given a node with the endpoints: <endpoints>
    When a resumable stream is sent to a1 and has brought <events> events
    Then its owners were told <what>

    Examples:
      | endpoints            | events | what       |
      | a1 at v1, b1 at v2   | 0      | nothing    |
      | a1 at v1, b1 at v2   | 1      | v1 for 5 s |
      | a1 at v1, b1 at v2   | 3      | v1 for 5 s |
      | a1 at v1, b1 at v1   | 1      | nothing    |

  Scenario: an attempt at another version that brought no event is told to nobody
    Given a node with the endpoints: a1 at v1 leaving, b1 at v2
    When a resumable stream begins at a1 and breaks off after 0 events
    And it has brought 1 events
    Then its owners were told v2 for 5 s

  Scenario: the streams that run as a second version comes are told then
    Given a node with the endpoints: a1 at v1, b1 at v1
    When a resumable stream is sent to a1 and has brought 1 events
    And an endpoint of v2 is listed
    Then its owners were told v1 for 5 s

  Scenario Outline: what is known of a stream's origin is kept for as long as its caller waits
    When origins are kept: <kept>
    Then <stream> began at <version>

    Examples:
      | kept                             | stream | version |
      | s1 at v1 for 5 s                 | s1     | v1      |
      | s1 at v1 for 5 s, then 6 s       | s1     | unknown |
      | s1 at v1 for 5 s, s1 at v2 for 5 s | s1   | v2      |
      | 131072 others for 5 s            | s1     | unknown |
      | s1 at v1 for 5 s, 131071 others for 5 s | s1 | v1   |
      | s1 at v1 for 5 s, 131072 others for 5 s | s1 | unknown |

  Scenario: a try that takes a stream up goes to the service that began it, where a route has two
    Given a resumable route whose requests go to two services alike
    Then 200 tries that take up streams go to the services that began them

  Scenario Outline: a stream that nobody knows is held back until it is known what served before
    Given a node with the endpoints: a1 at v1
    When it has run for <ran> s, the store tells <told>, and an owner replies that has run for <old> s
    Then a stream that nobody knows finds <how many>

    Examples:
      | ran | told                    | old | how many         |
      | 1   | nothing                 | 1   | several versions |
      | 1   | nothing                 | 121 | one version      |
      | 121 | nothing                 | 1   | one version      |
      | 1   | of no service           | 1   | one version      |
      | 1   | of svc for 60 s         | 1   | several versions |
      | 1   | of another for 60 s     | 1   | one version      |
      | 1   | nothing, then of none   | 1   | one version      |

  Scenario Outline: the lease's holder stores which services had several versions, for nodes that start
    Given a node with the endpoints: <endpoints>
    When <change> at the lease's holder, and <seconds> s pass
    Then it stores <several>

    Examples:
      | endpoints          | change                                   | seconds | several       |
      | a1 at v1, b1 at v1 | nothing changes                          | 0       | nothing       |
      | a1 at v1, b1 at v2 | nothing changes                          | 0       | svc for 120 s |
      | a1 at v1, b1 at v2 | a1 goes                                  | 30      | svc for 90 s  |
      | a1 at v1, b1 at v2 | a1 goes                                  | 121     | nothing       |
      | a1 at v1, b1 at v1 | the one before it stored svc for 60 s    | 0       | svc for 60 s  |
      | a1 at v1, b1 at v1 | the one before it stored svc for 60 s    | 20      | svc for 40 s  |
      | a1 at v1, b1 at v1 | the one before it stored svc for 60 s    | 61      | nothing       |

  Scenario: a second version is stored at once, not with the next renewal
    Given a node with the endpoints: a1 at v1
    When it holds the lease, and an endpoint of v2 is listed right after a renewal
    Then the next tick writes the lease again

  Scenario: a node that has no entries yet takes it from others that several versions serve
    When another node tells of several versions, and no entry of the service is known
    Then what is known is that several versions serve
