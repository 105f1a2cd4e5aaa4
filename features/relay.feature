Feature: Decisions on relayed requests and on what is resident where

  Scenario Outline: the route with the longest prefix of the path is taken
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

  Scenario: a split follows its weights, and a request keeps its side
    Given a route split 90 to 10
    When 2000 requests are picked
    Then about 200 go to the lighter side, each again to the same one

  Scenario Outline: an endpoint is asked no more often than the route allows
    Given a relaying node with three endpoints and <attempts> attempts for a <kind> route
    When a relayed request meets: <events>
    Then it was sent <sent> times and ended <end>

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
      | safe   | 2        | late                            | 1    | unknown |

  Scenario Outline: resends stay within the window's share and slack
    Given a window with share <share> and slack <slack> for <nodes> nodes
    When <firsts> requests are sent and all want to be resent
    Then <resends> resends are allowed

    Examples:
      | share | slack | nodes | firsts | resends |
      | 0.2   | 58    | 16    | 0      | 3       |
      | 0.2   | 58    | 16    | 100    | 23      |
      | 0.2   | 0     | 1     | 10     | 2       |
      | 0.0   | 16    | 16    | 1000   | 1       |

  Scenario: a window forgets after its length
    Given a window with share 0.2 and slack 0 for 1 nodes
    When 10 requests are sent, 11 seconds pass and a resend is asked for
    Then it is refused

  Scenario Outline: a node's part of the slack is for all nodes that were seen
    Given a relaying node that has seen <seen> others, of which <left> are left
    When 0 requests are sent and all want to be resent
    Then <resends> resends are allowed

    Examples: a slack of 160, for 16 nodes at least
      | seen | left | resends |
      | 0    | 0    | 10      |
      | 70   | 70   | 1       |
      | 70   | 0    | 1       |

  Scenario Outline: the lease goes to a node that was restarted already
    Given a relaying node that runs for 100 s beside nodes that run for <ages> s
    When it is asked who may take the lease
    Then those are <names>

    Examples: own age 100; p0, p1, ... of the given ages
      | ages                    | names          |
      | 3, 100, 100, 100, 100   | p0 first       |
      | 0.5, 100                | not p0         |
      | 20, 2, 60, 80, 100      | p1 p0 p2 p3    |

  Scenario Outline: orders of two holders lie apart, and a box goes on with its own lease
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

  Scenario: a lapsed lease is let go for good, whatever a late answer says
    Given a lease holder over runners holding m, n of 200 GB
    When its renewals get no answer for 5 s, and then one is answered late
    Then it does not hold the lease and tells that the epoch has ended

  Scenario Outline: the lease is read by its holder, and by others once that is silent
    Given a relaying node that runs for 100 s beside nodes that run for 100 s
    When the other node told <ago> s ago that it <held> the lease
    Then this node <reads> the lease

    Examples:
      | ago | held     | reads          |
      | 0.1 | holds    | need not read  |
      | 1.1 | holds    | is to read     |
      | 0.1 | does not hold | is to read |

  Scenario Outline: a request that finds no room is refused in time, with the reason
    Given a relaying node whose endpoints are <state>
    When a relayed request waits for its patience
    Then it is refused as <reason> with a time to come back

    Examples:
      | state           | reason    |
      | without a model | absent    |
      | without the adapter | absent |
      | full            | no_room   |
      | leaving         | none_open |

  Scenario Outline: orders keep to what a runner holds
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

  Scenario Outline: an order is settled before the next one is given
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

  Scenario Outline: an adapter that is in use is withdrawn, and unloaded once nobody uses it
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

  Scenario: a model that is in use is withdrawn, and unloaded once nobody uses it
    Given a lease holder over runners holding m+n of 200 GB
    When a request for m runs, and x of 150 GB is asked for and on the runner's disk
    Then just these orders were given: unload n
    And a new request for m is not sent there
    When the request ends
    Then just these orders were given: unload n, unload m, load x

  Scenario: an unload that comes late takes a withdrawn model, and its runner goes on
    Given a lease holder over runners holding m+n of 200 GB
    When a request for m runs, and x of 150 GB is asked for and on the runner's disk
    And m goes from the runner by a late order, and its report is read
    Then the holder counts nothing of m there any more

  Scenario: an order for what is so already is over at once
    Given a lease holder over runners holding m, n of 200 GB
    When a runner answers a load of x that it holds it already, and counts no order
    Then the holder reads its report, and may give it another order within 0.2 s

  Scenario: the adapters of a model that is withdrawn take their places until it is unloaded
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    When a request for m/a2 runs, and m is withdrawn from its runner for x, which holds n too
    And an adapter of n is wanted for 1 s
    Then no adapter was loaded there
    When the request ends
    And an adapter of n is wanted for 2 s
    Then an adapter of n was loaded there

  Scenario: an adapter that was withdrawn is taken back when it is wanted
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    And its adapters are in use here
    When an adapter of m is wanted for 1 s
    And the adapter that was withdrawn is wanted
    Then a new request for it is sent there

  Scenario Outline: while an order is open or refused for its fence no other is given there
    Given a lease holder over runners holding m, n of 200 GB
    When an adapter of m is wanted and the answer is <answer>
    And another adapter of m is wanted
    Then just these orders were given: load m/a1

    Examples:
      | answer |
      | none   |
      | fenced |

  Scenario Outline: a runner's report is read once its order ought to be over
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

  Scenario: a model whose load got no answer keeps its room until it can come no more
    Given a lease holder over runners holding m of 200 GB
    When loads of a model of 80 GB get no answer, and one of 90 GB is asked for
    Then that is loaded only after 12 s

  Scenario: a new holder knows what has come to a runner before its own first order
    Given a new lease holder whose first report of a runner shows m, and a load under way
    When the load of big ends there before the holder's turn, and n is asked for
    Then n is not loaded beside them

  Scenario: a model that is no longer declared while it is loaded does not stop the planner
    Given a lease holder over runners holding m, m of 200 GB
    When the model x is under way to a runner and then no longer declared
    And m is asked for a lot
    Then the holder goes on

  Scenario Outline: a route table of an older version changes nothing
    Given a relaying reducer that has route table 7
    When route table <version> comes
    Then its route table is <after>

    Examples:
      | version | after |
      | 6       | 7     |
      | 7       | 7     |
      | 8       | 8     |

  Scenario Outline: a leaving node begins nothing that could not end with it
    Given a relaying node with three endpoints and 2 attempts for a safe route
    When it was told to stop <ago> s ago and serves for 2.8 s more, and a request comes
    Then the request is <begun>

    Examples:
      | ago | begun   |
      | 0.1 | begun   |
      | 2.7 | begun   |
      | 2.9 | refused |

  Scenario: a late row of the list does not bring back what was unloaded
    Given a lease holder over runners holding m+a2+a3, n of 200 GB
    When an adapter of m is wanted and the answer is taken
    And the list tells again what the first runner held
    Then the first runner is not used for m/a2

  Scenario Outline: what may be there yet counts as there
    Given a lease holder over runners holding m+a2, n of 200 GB
    When an order for an adapter is answered <answer>, and <then>
    Then the orders are <orders>

    Examples: a runner has 2 places for adapters
      | answer | then                                     | orders                     |
      | never  | another adapter of m is wanted           | load m/a1, load m/a1, load m/a1, unload m/a2, load m/a4 |
      | taken  | the list tells less, and another is wanted | load m/a1, unload m/a2, load m/a4 |

  Scenario: what a runner held that is gone is loaded elsewhere, though a request hangs there
    Given a lease holder over runners holding n, m of 200 GB
    When a request for n hangs at its runner, whose entry goes
    Then n is loaded at the other within 1 s

  Scenario Outline: what a runner held that is down is loaded elsewhere
    Given a lease holder over runners holding n, m of 200 GB
    When a request for n meets <end> at its runner
    Then the orders are <orders>

    Examples:
      | end               | orders |
      | no listener       | load n |
      | a broken answer   | none   |

  Scenario: what was found down is told at once, and what it held is loaded elsewhere
    Given a lease holder over runners holding n, m of 200 GB
    When another node tells that nothing listens at the first runner
    Then the orders are load n
    And a request for n is not sent there, and waits for it

  Scenario: a refused connection is told to the other nodes once
    Given a relaying node whose one endpoint refuses connections
    When two requests are sent to it at once
    Then the other nodes are told once, and neither request is sent again

  Scenario: a runner whose report is read is not down any more
    Given a lease holder over runners holding n, m of 200 GB
    When another node tells wrongly that nothing listens at the first runner
    Then it may get requests and orders again within 1.5 s

  Scenario Outline: a report that tells no load leaves what other nodes have in flight there
    Given a relaying node with an endpoint of 8 slots, where another node has <theirs> in flight
    When the endpoint's <source> comes, which tells no load
    And a request arrives
    Then what comes of it there: <end>

    Examples:
      | theirs | source          | end     |
      | 8      | entry           | waiting |
      | 8      | report          | waiting |
      | 7      | report          | sent    |

  Scenario Outline: an endpoint that left the list gets nothing new
    Given a lease holder over runners holding m, m of 200 GB
    When the first runner has a request and leaves the list, and <what> comes
    Then it is <open> for work

    Examples:
      | what          | open   |
      | nothing       | closed |
      | its report    | closed |
      | its row again | open   |

  Scenario Outline: a runner that owes an answer and says nothing gets no new work
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

  Scenario Outline: a request waits for its model where that can be there in time
    Given a lease holder over runners holding <held> of 200 GB
    When a request with an objective of <objective> s comes for n, which is <where>
    Then after <seconds> s it <state>

    Examples: a load takes 1.5 s from a disk, 8 s from the store; patience is 0.1 s
      | held | objective | where              | seconds | state      |
      | m, m | 6         | on a runner's disk | 2.0     | waits      |
      | m, m | 6         | on a runner's disk | 5.0     | is refused |
      | m, m | 1         | on a runner's disk | 0.5     | is refused |
      | m, m | 6         | in the weight store| 0.5     | is refused |

  Scenario Outline: a request whose model comes late is refused at once, and told when
    Given a lease holder over runners holding m, m of 200 GB
    And another node has n loaded, to be there in <in_s> s
    When a request with an objective of <objective> s comes for n
    Then after <seconds> s it <state>
    And it is told to come back after <least> to <most> s

    Examples: 5 s are left, of which a caller may be told 1.7; it is there 1 s after a load
      | in_s | objective | seconds | state      | least | most |
      | 0.1  | 0.4       | 0.1     | is refused | 1.1   | 1.7  |
      | 0.5  | 0.4       | 0.1     | is refused | 1.5   | 1.7  |
      | 9.0  | 0.4       | 0.1     | is refused | 1.6   | 1.7  |
      | 1.0  | 4.0       | 2.4     | waits      | -     | -    |
      | 1.0  | 4.0       | 2.8     | is refused | 0.5   | 1.7  |

  # Guards against callers who come back once, are told of a moment before their model can be there, and find
  # it absent still.
  Scenario Outline: a caller with time to wait is told when its model can be there, also if that is late
    Given a lease holder over runners holding m, m of 200 GB
    And another node has n loaded, to be there in <in_s> s
    When a request with 30 s left comes for n
    Then after 0.1 s it is refused
    And it is told to come back after <least> to <most> s

    Examples: of 30 s a caller may be told 10; it is there 1 s after a load
      | in_s | least | most |
      | 0.5  | 1.5   | 2.5  |
      | 4.0  | 5.0   | 6.0  |
      | 6.5  | 7.5   | 8.5  |
      | 20.0 | 8.0   | 9.0  |

  # Guards against a place that stays with a model for which nobody comes any more, while others are asked for
  # that stand nowhere.
  Scenario Outline: a model that was loaded for callers is kept until they are back, and no longer
    Given a lease holder over runners holding m, m of 200 GB
    When n is asked for by a caller who will be back <back> s after it has come, and is loaded
    Then it is kept for its callers after <kept> s, and not after <free> s

    Examples: 0.6 s are for nodes to tell that it is used; 4 s at most
      | back | kept | free |
      | -3.0 | 0.3  | 0.8  |
      | 0.5  | 0.9  | 1.3  |
      | 2.0  | 2.4  | 2.8  |
      | 9.0  | 3.7  | 4.2  |

  Scenario Outline: nothing is sent for a caller that has left
    Given a relaying node with one full runner, and a deadline of 5 s
    When a request <state>, its caller leaves, and then there is room
    Then nothing more is sent, and what ran for it is stopped: <stopped>

    Examples:
      | state               | stopped |
      | waits for room      | no      |
      | waits between tries | no      |
      | runs                | yes     |

  Scenario Outline: a request that comes back after a refusal waits as any other
    Given a relaying node with one full runner, and a deadline of 5 s
    When a request is refused and comes back after 1 s, and there is <room> for <seconds> s
    Then the one that came back is <end>

    Examples: patience is 0.1 s
      | room | seconds | end     |
      | room | 0.05    | sent    |
      | none | 0.05    | waiting |
      | none | 0.2     | refused |

  Scenario: the last copy of a model is never unloaded
    Given a lease holder over runners holding m, n of 200 GB
    When 300 plans are made under demand that moves
    Then m and n were resident somewhere all the time and no runner was over its memory
