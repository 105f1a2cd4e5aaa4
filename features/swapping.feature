Feature: Placement by load time, which depends on runners' local copies of models

  Models: m 70 GB, n, o and p 60 GB, big 150 GB; a runner has 200 GB and serves 4,000
  tokens a second. A load takes 8 s from the weight store, 1.5 s from the runner's
  disk and 1.2 s from its memory.

  Scenario Outline: a plan loads a model where that costs the least
    Given runners <runners>
    When a plan is made for demand <demand>
    Then the moves are <moves>

    Examples: requested models without a replica
      | runners                            | demand          | moves                    |
      | e1[m] e2[n; disk o]                | o 1000          | load o e2                |
      | e1[m; disk o] e2[n; memory o]      | o 1000          | load o e2                |
      | e1[m] e2[n]                        | o 1000, m 3000  | load o e2                |
      | e1[m] e2[n; disk o; busy 1]        | o 1000          | none                     |
      | e1[m] e2[n; disk o; busy]          | o 1000          | load o e1                |
      | e1[m] e2[n; disk o; busy 9]        | o 1000          | load o e1                |
      | e1[big; disk o] e2[big; disk o]    | o 9, big 900    | unload big e1            |

    Examples: a fast model (here a tenth of the work) loses as much by eviction as others
      | runners                            | demand                   | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000, m 50/10        | none                     |
      | e1[m,n; disk m,n,big]              | big 1000, m 5/10         | unload n e1, unload m e1 |

    Examples: the eviction with the smallest loss is chosen
      | runners                                     | demand               | moves        |
      | e1[big; disk o] e2[m,n] e3[big]             | o 9, big 90          | unload big e1 |
      | e1[big; disk o] e2[m,n] e3[big]             | o 9, big 6000        | load o e2    |

    Examples: room that an unload made is reserved for the model that it was made for
      | runners                            | demand          | moves                    |
      | e1[m; disk n,o; room o] e2[m; disk n] | o 9, n 900   | load o e1, load n e2     |
      | e1[m; disk n,o; room o] e2[o]      | n 900           | load n e1                |
      | e1[m,n; disk o; room big] e2[o]    | m 9             | none                     |

    Examples: if one unload was not enough for a model, the next one follows
      | runners                            | demand          | moves                    |
      | e1[m; disk m,n,big; room big] e2[n] | big 1000       | unload m e1, load m e2   |
      | e1[m; disk n,big; room big] e2[n]  | big 1000        | unload n e2, load n e1   |

    Examples: for a second replica, only nearly idle last replicas are unloaded next
      | runners                                  | demand              | moves            |
      | e1[n,o; disk n,o,m; room big] e2[big]    | big 3000, n 9, o 9  | unload n e1, unload o e1 |
      | e1[n,o; disk n,o,m; room big] e2[big]    | big 3000, n 500, o 500 | none          |

    Examples: a last replica is evicted only for much greater demand and if it reloads quickly
      | runners                            | demand            | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000          | unload m e1, unload n e1 |
      | e1[m,n; disk m,n,big]              | big 1000, m 500   | none                     |
      | e1[m,n; disk m,n,big]              | big 3000, m 500   | unload n e1, unload m e1 |
      | e1[m,n; disk m,big]                | big 1000          | none                     |
      | e1[m,n; disk m,n,big]              | none              | none                     |
      | e1[m,n; disk m,n,big] e2[m]        | none              | none                     |

    Examples: another replica of a model that needs more than one runner
      | runners                            | demand            | moves                    |
      | e1[m] e2[n; disk m]                | m 5000            | load m e2                |
      | e1[m] e2[n]                        | m 4040~           | none                     |
      | e1[m] e2[n]                        | m 4400            | load m e2                |
      | e1[m] e2[n]                        | m 8000            | load m e2                |
      | e1[m] e2[n; disk m]                | m 3000~           | none                     |
      | e1[m] e2[n,o; disk n,o,m]          | m 8000, o 800     | load m e2                |
      | e1[m] e2[big; disk big,m]          | m 8000, big 800   | none                     |
      | e1[m] e2[big; disk big,m]          | m 8000            | unload big e2            |
      | e1[m] e2[big; disk m]              | m 8000            | none                     |

    Examples: a second replica for urgent demand, in case the only one is lost
      | runners                            | demand            | moves                    |
      | e1[m] e2[n; disk m]                | m 3000            | load m e2                |
      | e1[m] e2[n]                        | m 100             | none                     |
      | e1[m] e2[big; disk big,m]          | m 3000            | unload big e2            |
      | e1[m] e2[big; disk big,m]          | m 3000, big 500   | none                     |
      | e1[m] e2[m; disk big,m]            | m 3000, big 9     | unload m e2              |
      | e1[m] e2[m,n,o; disk n,o,p]        | m 3000, p 300     | unload n e2, load n e1   |

    Examples: another replica for demand that is refused, though one runner's rate would do
      | runners                            | demand                | moves                |
      | e1[m] e2[n; disk m]                | m 1000!700            | load m e2            |
      | e1[m] e2[big; disk big,m]          | m 1000!700            | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 1000!700, big 100   | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 1000!700, big 500   | none                 |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 500~ | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 900~ | none                 |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 500  | none                 |

    Examples: what was refused is spread over the replicas that there are
      | runners                                  | demand                | moves                |
      | e1[m] e2[big; disk big,m]                | m 1000!700, big 100   | unload big e2        |
      | e1[m] e2[m] e3[big; disk big,m]          | m 1000!700, big 100   | none                 |
      | e1[m] e2[m] e3[big; disk big,m]          | m 1000!1400, big 100  | unload big e3        |

    Examples: a second replica stays if it ended refusals, and may be evicted otherwise
      | runners                            | demand                | moves                |
      | e1[m] e2[m; disk big,m]            | m 1000!700, big 400   | none                 |
      | e1[m] e2[m; disk big,m]            | m 1000, big 400       | unload m e2          |

    Examples: models whose requests can wait are evicted sooner, and models in use later
      | runners                            | demand                | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000, m 500, n 9  | none                     |
      | e1[m,n; disk m,n,big]              | big 1000, m 500~, n 9 | unload n e1, unload m e1 |
      | e1[m,n,o; disk m,n,o; use m]       | p 900                 | unload n e1              |
      | e1[m,n,o; disk m,n,o]              | p 900                 | unload m e1              |

    Examples: room for a model is made at one runner only
      | runners                               | demand  | moves       |
      | e1[big; disk o; busy 1; room o] e2[big; disk o,big] | o 900 | none |
      | e1[big; disk o; busy; room o] e2[big; disk o,big]   | o 900 | unload big e2 |

    Examples: a load or unload delays requests for adapters that are not attached yet
      | runners                                        | demand          | moves            |
      | e1[m; awaited 900] e2[n]                       | o 0             | load o e2        |
      | e1[m; awaited 900] e2[big]                     | o 0             | none             |
      | e1[m; awaited 100] e2[big]                     | o 0             | load o e1        |
      | e1[m; disk o; awaited 9000] e2[n]              | o 1000          | load o e2        |
      | e1[m; disk o; awaited 9] e2[n]                 | o 1000          | load o e1        |
      | e1[m; awaited 9000] e2[big,n]                  | o 1000          | none             |
      | e1[m; awaited 3000] e2[big,n]                  | o 1000          | load o e1        |
      | e1[m; awaited 9000] e2[n; awaited 8000]        | m 9000          | load m e2        |
      | e1[m; awaited 9000] e2[n; awaited 15000]       | m 9000          | none             |

    Examples: urgent demand gets a second replica while the first one is being loaded
      | runners                                        | demand          | moves            |
      | e1[n; coming o; busy 8] e2[m]                  | o 3000          | load o e2        |
      | e1[n; coming o; busy 8] e2[m]                  | o 30            | none             |
      | e1[n; coming o; busy 8] e2[m]                  | o 3000~         | none             |

    Examples: a model is protected until its callers have retried
      | runners                                        | demand          | moves            |
      | e1[big; disk o,big; kept big]                  | o 900           | none             |
      | e1[big; disk o,big]                            | o 900           | unload big e1    |
      | e1[m,n; disk m,n,o; kept m]                    | o 900           | load o e1        |

  Scenario Outline: the log says why a model that is short of replicas gets no other one
    Given runners <runners>
    When a plan is made for demand <demand>
    Then the log says of m "<why>"

    Examples:
      | runners                           | demand              | why                           |
      | e1[m] e2[big; disk big,m]         | m 8000, big 8000    | no room for a further replica |
      | e1[m] e2[n; awaited 15000]        | m 9000              | no further replica pays       |
      | e1[m] e2[n; disk m]               | m 5000              | nothing                       |

    Examples: a model without a replica waits for a busy runner
      | runners                                  | demand | why                                      |
      | e1[big; disk big,m; busy 1; coming n]    | m 900  | it waits for e1, which loads n           |
      | e1[big; disk big,m; busy 1; room n]      | m 900  | it waits for e1, which makes room for n  |
      | e1[big; disk big,m; busy 1]              | m 900  | it waits for e1                          |

  Scenario Outline: a model that loads quickly takes no place from others while none of its callers is expected
    Given runners <runners>
    And callers are expected of <expected> alone
    When a plan is made for demand <demand>
    Then the moves are <moves>

    Examples:
      | runners                                | expected | demand        | moves                |
      | e1[m,n,p] e2[big; disk o,big]          | m        | o 900         | none                 |
      | e1[m,n,p] e2[big; disk o,big]          | o        | o 900         | unload big e2        |
      | e1[m,n,p] e2[big; disk big]            | m        | o 900         | unload big e2        |
      | e1[m,n; disk o,p; room o] e2[big]      | p        | o 900, p 100  | load p e1            |
      | e1[m,n; disk o,p; room o] e2[big]      | o        | o 900, p 100  | load o e1            |
      | e1[m] e2[n; disk m]                    | n        | m 5000        | load m e2            |

    Examples: but free room, where nothing else is missed
      | runners                                | expected | demand        | moves                |
      | e1[m] e2[big; disk o,big]              | m        | o 900         | load o e1            |
      | e1[m,n,p] e2[n; disk o]                | m        | o 900         | load o e2            |

  Scenario Outline: a caller that has come back is not expected again
    Given a relaying node whose one runner has a prompt of 0 tokens to read
    When callers with <times> s to their deadlines request x, which is absent
    Then the last of them is expected back for <least> to <most> s

    Examples:
      | times   | least | most |
      | 15      | 0.8   | 8.0  |
      | 15, 15  | 0.8   | 8.0  |
      | 15, 10  | 0.0   | 0.2  |
      | 10, 15  | 0.8   | 8.0  |

  Scenario: the log says at how many runners a model could have room that gets none
    Given a lease holder over runners holding m+n, m+n of 200 GB
    When 3000 tokens of x, which fits nowhere, are requested 6 times in 12 s
    Then the log has "of 2 runners without it 0 are busy, 2 others hold a model that hardly anybody requests now"

  Scenario: a model that was loaded for callers is not evicted before they have retried
    Given a lease holder over runners holding m+n of 200 GB
    When x is requested and loaded, and then y, which only fits in its place
    Then x stays for 3.5 s, and y is resident within 10 s

  Scenario Outline: a model's deficit lasts until it is resident somewhere
    Given a lease holder over runners holding m+n, m+n of 200 GB
    When <tokens> tokens of x, which fits nowhere, are requested <times> times in 12 s
    Then its deficit is between <least> and <most> tokens
    And m has no deficit

    Examples: demand falls to a third within 3 s of the last request, the deficit does not fall
      | tokens | times | least | most  |
      | 1000   | 1     | 600   | 1400  |
      | 1000   | 3     | 2000  | 4000  |
      | 3000   | 3     | 6000  | 12000 |

  Scenario Outline: only loads from the weight store count against its rate
    Given a lease holder whose weight store allows <rate> loads a second
    When two models are requested that are <where>
    Then <loads> are ordered within a second

    Examples:
      | rate | where                  | loads |
      | 0.01 | on a runner's disk     | 2     |
      | 0.01 | in the weight store    | 0     |
      | 10   | in the weight store    | 2     |

  Scenario Outline: a model's relative work is measured by the time that a prompt token adds
    Given prompts of <tokens> tokens with a first event after <took> ms
    When they are recorded for m, after one of 10 tokens and 40 ms and three of 2000 and 140 ms for n
    Then a token of m is <part> of the work of one of n

    Examples:
      | tokens                 | took                  | part |
      | 2000, 2000, 2000       | 50, 50, 50            | 0.10 |
      | 2000, 2000             | 50, 50                | 1.00 |
      | 4000, 4000, 4000       | 140, 140, 140         | 0.50 |
      | 2000, 2000, 8000       | 50, 50, 60            | 0.07 |
      | 2000, 2000, 1000       | 50, 50, 140           | 0.50 |
      | 900, 900, 900          | 50, 50, 50            | 1.00 |
      | 2000, 2000, 2000       | 41, 41, 41            | 0.05 |

  Scenario Outline: an endpoint gets another prompt while few prompt tokens are unread
    Given a relaying node whose one runner has a prompt of <unread> tokens to read
    When a prompt of <tokens> tokens arrives
    Then it is <sent>

    Examples: 4,096 tokens at most, or one prompt of any size
      | unread | tokens | sent     |
      | 3000   | 1000   | sent     |
      | 3000   | 1200   | not sent |
      | 0      | 9000   | sent     |
      | 9000   | 10     | not sent |

  Scenario: demand and unread prompts are counted by the time that they take to read
    Given a lease holder over runners holding m+n, m+n of 200 GB
    When m reads ten times as fast as n, and 3000 tokens of each are requested
    Then the demand for m is a tenth of that for n, and so is the length of its unread prompt

  Scenario: with more models than the runners have room for, each is resident in time
    Given 200 models of skewed demand over 45 runners with room for three models
    When plans are made for 90 s
    Then each model was resident, and none was absent for longer than 45 s
    And the 20 models with the most demand were resident 95 % of the time
