Feature: Decisions on routed requests, and on the models and adapters that runners hold

  Scenario Outline: the route with the longest prefix of the path is used
    Given routes for <prefixes>
    When a request for <path> comes
    Then its route is <route>

    Examples:
      | prefixes        | path      | route  |
      | /a/, /a/b/      | /a/b/c    | /a/b/  |
      | /a/, /a/b/      | /a/bc     | /a/    |
      | /a/             | /b/       | none   |
      | /a/             | /a        | none   |
      | /               | /anything | /      |

  Scenario: requests are split by weight, and each request always gets the same service
    Given a route split 90 to 10
    When 2000 requests are picked
    Then about 200 go to the service of less weight, each one always to the same service

  Scenario Outline: a request is sent no more often than its route allows
    Given a relaying node with three endpoints and <attempts> attempts for a <kind> route
    When the attempts of a routed request end: <events>
    Then it was sent <sent> times and its outcome is <end>

    Examples:
      | kind   | attempts | events                          | sent | end     |
      | safe   | 1        | breaks                          | 1    | unknown |
      | safe   | 2        | breaks, breaks                  | 2    | unknown |
      | safe   | 3        | breaks, breaks, succeeds        | 3    | ran     |
      | safe   | 2        | refused, refused                | 2    | not_run |
      | safe   | 2        | breaks, refused                 | 2    | unknown |
      | unsafe | 2        | breaks                          | 1    | unknown |
      | unsafe | 2        | refused, succeeds               | 2    | ran     |
      | unsafe | 1        | refused                         | 1    | not_run |
      | unsafe | 1        | unsent, succeeds                | 2    | ran     |
      | unsafe | 1        | unsent, unsent, unsent, unsent, unsent | 5 | not_run |
      | unsafe | 3        | refused, unsent, succeeds       | 3    | ran     |
      | unsafe | 2        | refused, unsent, refused        | 3    | not_run |
      | unsafe | 3        | refused, unsent, breaks         | 3    | unknown |
      | safe   | 2        | late                            | 1    | unknown |

  Scenario Outline: resends stay within the window's share and slack
    Given a retry window with share <share> and slack <slack> for <nodes> nodes
    When <firsts> requests are sent and all are to be resent
    Then <resends> resends are allowed

    Examples:
      | share | slack | nodes | firsts | resends |
      | 0.2   | 58    | 16    | 0      | 3       |
      | 0.2   | 58    | 16    | 100    | 23      |
      | 0.2   | 0     | 1     | 10     | 2       |
      | 0.0   | 16    | 16    | 1000   | 1       |

  Scenario: first sends that are older than the window allow no resend
    Given a retry window with share 0.2 and slack 0 for 1 nodes
    When 10 requests are sent, 11 seconds pass and a resend is requested
    Then it is refused

  Scenario Outline: the slack is divided by all nodes that were ever seen
    Given a relaying node that has seen <seen> others, of which <left> remain
    When 0 requests are sent and all are to be resent
    Then <resends> resends are allowed

    Examples: a slack of 160, for 16 nodes at least
      | seen | left | resends |
      | 0    | 0    | 10      |
      | 70   | 70   | 1       |
      | 70   | 0    | 1       |

  Scenario Outline: nodes that were restarted recently are the first candidates for the lease
    Given a relaying node that runs for 100 s beside nodes that run for <ages> s
    When it is asked who may take the lease
    Then those are <names>

    Examples: own age 100; p0, p1, ... of the given ages
      | ages                    | names          |
      | 3, 100, 100, 100, 100   | p0 first       |
      | 0.5, 100                | not p0         |
      | 20, 2, 60, 80, 100      | p1 p0 p2 p3    |

  Scenario Outline: the orders of two lease holders lie apart, unless a box resumes its own lease
    Given a relay lease that <before>
    When a node looks at it and takes it as soon as it may
    Then it holds it after <taken> s and gives orders after <orders> s

    Examples: a lease of 4 s whose holder stops 1 s before; orders lie 3.3 s apart
      | before                                   | taken | orders |
      | nobody ever held                         | 0.0   | 0.0    |
      | another gave up                          | 0.0   | 3.3    |
      | another gave up, 1.2 s before its turn   | 0.0   | 1.2    |
      | another holds                            | 4.1   | 6.3    |
      | its own box held and gave orders         | 0.0   | 0.0    |
      | its own box held and gave no orders yet  | 0.0   | 3.3    |
      | a box of its name held elsewhere         | 4.1   | 6.3    |
      | another held and tells that it has ended | 0.0   | 3.3    |

  Scenario: a late answer to a renewal does not restore a lapsed lease
    Given a lease holder over runners holding m, n of 200 GB
    When its renewals get no answer for 5 s, and then one is answered late
    Then it does not hold the lease and tells that the epoch has ended

  Scenario Outline: a node reads the lease unless it has just heard from the holder
    Given a relaying node that runs for 100 s beside nodes that run for 100 s
    When the other node told <ago> s ago that it <held> the lease
    Then this node <reads> the lease

    Examples:
      | ago | held     | reads          |
      | 0.1 | holds    | need not read  |
      | 1.1 | holds    | is to read     |
      | 0.1 | does not hold | is to read |

  Scenario Outline: a request that no endpoint takes is refused with the reason
    Given a relaying node whose endpoints are <state>
    When a routed request waits for longer than its limit
    Then it is refused as <reason> with a retry-after time

    Examples:
      | state           | reason    |
      | without a model | absent    |
      | without the adapter | absent |
      | full            | no_room   |
      | leaving         | none_open |

  Scenario Outline: orders keep to the memory and adapter places of a runner
    Given a lease holder over runners holding <held> of 200 GB
    When <event>
    Then the orders are <orders>

    Examples: m is 70 GB, n 60 GB, big 150 GB; a runner has 2 places for adapters
      | held          | event                                | orders                 |
      | m, m          | an adapter of m is wanted            | load m/a1              |
      | m+a2+a3, n    | an adapter of m is wanted            | none                   |
      | m+a2+a3, n    | an adapter of m is wanted for 1 s    | unload m/a2, load m/a1 |
      | m, n          | the model big joins                   | none                   |
      | m, m          | the model n joins                     | load n                 |
      | m+n, m        | m is asked for a lot                 | none                   |
      | m, n          | m is asked for a lot                 | load m                 |
      | m, n          | the lease is lost, then an adapter of m is wanted | none      |

  Scenario Outline: a runner's next order waits until the outcome of the last one is known
    Given a lease holder over runners holding m, n of 200 GB
    When an adapter of m is wanted and the answer is <answer>
    And another adapter of m is wanted
    Then the orders are <orders>

    Examples:
      | answer      | orders               |
      | taken       | load m/a1, load m/a2 |
      | none        | load m/a1            |
      | lost        | load m/a1, load m/a1 |
      | fenced      | load m/a1            |
      | other count | load m/a1            |

  Scenario Outline: an adapter in use is withdrawn, and unloaded after its last request
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    And its adapters are in use <where>
    When an adapter of m is wanted for 1 s
    Then no order is given, and a new request for m/a2 finds it nowhere
    When the requests for it end
    And an adapter of m is wanted for 2 s
    Then the orders are unload m/a2, load m/a1

    Examples:
      | where           |
      | here            |
      | at another node |

  Scenario: a model in use is withdrawn, and unloaded after its last request
    Given a lease holder over runners holding m+n of 200 GB
    When a request for m runs, and x of 150 GB is asked for and on the runner's disk
    Then just these orders were given: unload n
    And a new request for m is not sent there
    When the request ends
    Then just these orders were given: unload n, unload m, load x

  Scenario: a report after a late unload order ends the withdrawal of a model
    Given a lease holder over runners holding m+n of 200 GB
    When a request for m runs, and x of 150 GB is asked for and on the runner's disk
    And m goes from the runner by a late order, and its report is read
    Then the holder counts nothing of m there any more

  Scenario: an order that changes nothing ends at once
    Given a lease holder over runners holding m, n of 200 GB
    When a runner answers a load of x that it holds it already, and counts no order
    Then the holder reads its report, and may give it another order within 0.2 s

  Scenario: adapters of a withdrawn model occupy their places until it is unloaded
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    When a request for m/a2 runs, and m is withdrawn from its runner for x, which holds n too
    And an adapter of n is wanted for 1 s
    Then no adapter was loaded there
    When the request ends
    And an adapter of n is wanted for 2 s
    Then an adapter of n was loaded there

  Scenario: a withdrawn adapter is used again when it is requested
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    And its adapters are in use here
    When an adapter of m is wanted for 1 s
    And the adapter that was withdrawn is wanted
    Then a new request for it is sent there

  Scenario Outline: a runner gets no other order while one is unanswered or was refused as fenced
    Given a lease holder over runners holding m, n of 200 GB
    When an adapter of m is wanted and the answer is <answer>
    And another adapter of m is wanted
    Then just these orders were given: load m/a1

    Examples:
      | answer |
      | none   |
      | fenced |

  Scenario Outline: a runner's report is read when its order is expected to be done
    Given a lease holder over runners holding m, n of 200 GB
    When <order> is taken at a runner, whose reports have come too early <times> times
    Then its report is first read <after> s later

    Examples: a load from the store takes 8 s; ticks are 0.1 s apart
      | order              | times | after |
      | a load             | 0     | 8.15  |
      | a load             | 4     | 8.35  |
      | an unload          | 0     | 0.15  |
      | an unload          | 3     | 0.3   |
      | an unload          | 99    | 0.6   |

  Scenario: memory for an unanswered load stays reserved until the load can no longer begin
    Given a lease holder over runners holding m of 200 GB
    When loads of a model of 80 GB get no answer, and one of 90 GB is asked for
    Then that is loaded only after 12 s

  Scenario: a new lease holder counts a load that ended before its own first order
    Given a new lease holder whose first report of a runner shows m, and a load under way
    When the load of big ends there before the holder's turn, and n is asked for
    Then n is not loaded beside them

  Scenario: removing a model from the configuration during its load does not stop the planner
    Given a lease holder over runners holding m, m of 200 GB
    When the model x is under way to a runner and then no longer declared
    And m is asked for a lot
    Then the holder goes on

  Scenario Outline: a route table of an older version changes nothing
    Given a relaying reducer that has route table 7
    When route table <version> arrives
    Then its route table is <after>

    Examples:
      | version | after |
      | 6       | 7     |
      | 7       | 7     |
      | 8       | 8     |

  Scenario Outline: a leaving node refuses requests that could not end before it stops
    Given a relaying node with three endpoints and 2 attempts for a safe route
    When it began to drain <ago> s ago, serves for 2.8 s while it drains, and a request arrives
    Then the request is <begun>

    Examples:
      | ago | begun   |
      | 0.1 | begun   |
      | 2.7 | begun   |
      | 2.9 | refused |

  Scenario: an outdated entry of the endpoint list does not restore an unloaded adapter
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    When an adapter of m is wanted and the answer is taken
    And the list tells again what the first runner held
    Then the first runner is not used for m/a2

  Scenario Outline: an adapter that may still be attached counts as attached
    Given a lease holder over runners holding m+a2, n of 200 GB
    When an order for an adapter is answered <answer>, and <then>
    Then the orders are <orders>

    Examples: a runner has 2 places for adapters
      | answer | then                                     | orders                     |
      | never  | another adapter of m is wanted           | load m/a1, load m/a1, load m/a1, unload m/a2, load m/a4 |
      | taken  | the list tells less, and another is wanted | load m/a1, unload m/a2, load m/a4 |

  Scenario: the model of a runner that has gone is loaded elsewhere, even if a request hangs there
    Given a lease holder over runners holding n, m of 200 GB
    When a request for n hangs at its runner, whose entry goes
    Then n is loaded at the other within 1 s

  Scenario Outline: the model of a runner that is down is loaded elsewhere
    Given a lease holder over runners holding n, m of 200 GB
    When a request for n meets <end> at its runner
    Then the orders are <orders>

    Examples:
      | end               | orders |
      | no listener       | load n |
      | a broken answer   | none   |

  Scenario: the model of a runner that another node found down is loaded elsewhere
    Given a lease holder over runners holding n, m of 200 GB
    When another node reports that nothing listens at the first runner
    Then the orders are load n
    And a request for n is not sent there, and waits for the load

  Scenario: a refused connection is reported to the other nodes once
    Given a relaying node whose one endpoint refuses connections
    When two requests are sent to it at once
    Then the other nodes are informed once, and neither request is sent again

  Scenario: a runner whose report can be read no longer counts as down
    Given a lease holder over runners holding n, m of 200 GB
    When another node reports wrongly that nothing listens at the first runner
    Then it may get requests and orders again within 1.5 s

  Scenario Outline: a report without load figures keeps the in-flight counts of the other nodes
    Given a relaying node with an endpoint of 8 slots, where another node has <theirs> in flight
    When the endpoint's <source> arrives without load figures
    And a request arrives
    Then its state is <end>

    Examples:
      | theirs | source          | end     |
      | 8      | entry           | waiting |
      | 8      | report          | waiting |
      | 7      | report          | sent    |

  Scenario Outline: an endpoint that left the list gets no new requests
    Given a lease holder over runners holding m, m of 200 GB
    When the first runner has a request and leaves the list, and <what> comes
    Then it is <open> for work

    Examples:
      | what          | open   |
      | nothing       | closed |
      | its report    | closed |
      | its row again | open   |

  Scenario Outline: a runner that is silent with requests in flight gets no new work
    Given a lease holder over runners holding m, m of 200 GB
    When the first runner has a request for <seconds> s and <news>
    Then it is <open> for work

    Examples:
      | seconds | news                        | open   |
      | 0.5     | says nothing                | open   |
      | 1.0     | says nothing                | closed |
      | 1.0     | has just sent an event      | open   |
      | 1.0     | has just refused another    | open   |
      | 0.1     | takes no connection         | closed |
      | 1.5     | took none 1.4 s ago         | open   |

  Scenario Outline: a request waits for a model that can be loaded within its objective
    Given a lease holder over runners holding <held> of 200 GB
    When a request with an objective of <objective> s arrives for n, which is <where>
    Then after <seconds> s it <state>

    Examples: a load takes 1.5 s from a disk, 8 s from the store; else a request waits for 0.1 s
      | held | objective | where              | seconds | state      |
      | m, m | 6         | on a runner's disk | 2.0     | waits      |
      | m, m | 6         | on a runner's disk | 5.0     | is refused |
      | m, m | 1         | on a runner's disk | 0.5     | is refused |
      | m, m | 6         | in the weight store| 0.5     | is refused |

  Scenario Outline: a request whose model loads too late is refused with a retry-after time
    Given a lease holder over runners holding m, m of 200 GB
    And another node has ordered a load of n, which is due in <in_s> s
    When a request with an objective of <objective> s arrives for n
    Then after <seconds> s it <state>
    And its retry-after time is <least> to <most> s

    Examples: deadline 5 s, retry-after 1.7 s at most; a model is expected 1 s after its load
      | in_s | objective | seconds | state      | least | most |
      | 0.1  | 0.4       | 0.1     | is refused | 1.1   | 1.7  |
      | 0.5  | 0.4       | 0.1     | is refused | 1.5   | 1.7  |
      | 9.0  | 0.4       | 0.1     | is refused | 1.6   | 1.7  |
      | 1.0  | 4.0       | 2.4     | waits      | -     | -    |
      | 1.0  | 4.0       | 2.8     | is refused | 0.5   | 1.7  |

  # Guards against a retry-after time that ends before the model is loaded: most callers retry
  # just once, and would be refused again.
  Scenario Outline: the retry-after time covers a long load if the deadline allows
    Given a lease holder over runners holding m, m of 200 GB
    And another node has ordered a load of n, which is due in <in_s> s
    When a request with a deadline of 30 s arrives for n
    Then after 0.1 s it is refused
    And its retry-after time is <least> to <most> s

    Examples: deadline 30 s, retry-after 10 s at most; a model is expected 1 s after its load
      | in_s | least | most |
      | 0.5  | 1.5   | 2.5  |
      | 4.0  | 5.0   | 6.0  |
      | 6.5  | 7.5   | 8.5  |
      | 20.0 | 8.0   | 9.0  |

  # Guards against memory that stays reserved for a model whose callers no longer retry, while
  # requested models are on no endpoint.
  Scenario Outline: a model loaded for callers is kept until they have retried, and no longer
    Given a lease holder over runners holding m, m of 200 GB
    When n is loaded for a caller that retries <back> s after the end of the load
    Then it is still kept after <kept> s, and no longer after <free> s

    Examples: kept 0.6 s longer, since nodes report its use with their heartbeats; 4 s at most
      | back | kept | free |
      | -3.0 | 0.3  | 0.8  |
      | 0.5  | 0.9  | 1.3  |
      | 2.0  | 2.4  | 2.8  |
      | 9.0  | 3.7  | 4.2  |

  Scenario Outline: nothing is sent for a caller that has left
    Given a relaying node with one full runner, and a deadline of 5 s
    When a request <state>, its caller leaves, and then there is room
    Then nothing more is sent, and its attempt is cancelled: <stopped>

    Examples:
      | state               | stopped |
      | waits for room      | no      |
      | waits between tries | no      |
      | runs                | yes     |

  Scenario Outline: a request that is retried after a refusal waits like any other
    Given a relaying node with one full runner, and a deadline of 5 s
    When a request is refused and retried after 1 s, and there is <room> for <seconds> s
    Then the retried request is <end>

    Examples: a request waits for 0.1 s at most
      | room | seconds | end     |
      | room | 0.05    | sent    |
      | none | 0.05    | waiting |
      | none | 0.2     | refused |

  Scenario: the last replica of a model is never unloaded
    Given a lease holder over runners holding m, n of 200 GB
    When 300 plans are made under demand that moves
    Then m and n were resident somewhere all the time and no runner was over its memory
