Feature: Placement by how near a runner's copies of models are

  Models: m 70 GB, n, o and p 60 GB, big 150 GB; a runner has 200 GB and serves 4,000
  tokens a second. A load takes 8 s from the weight store, 1.5 s from the runner's
  disk and 1.2 s from its memory.

  Scenario Outline: moves go where a model is there soonest
    Given runners <runners>
    When a plan is made for demand <demand>
    Then the moves are <moves>

    Examples: what is asked for and resident nowhere
      | runners                            | demand          | moves                    |
      | e1[m] e2[n; disk o]                | o 1000          | load o e2                |
      | e1[m; disk o] e2[n; memory o]      | o 1000          | load o e2                |
      | e1[m] e2[n]                        | o 1000, m 3000  | load o e2                |
      | e1[m] e2[n; disk o; busy 1]        | o 1000          | none                     |
      | e1[m] e2[n; disk o; busy]          | o 1000          | load o e1                |
      | e1[m] e2[n; disk o; busy 9]        | o 1000          | load o e1                |
      | e1[big; disk o] e2[big; disk o]    | o 9, big 900    | unload big e1            |

    Examples: fast models are little work (a tenth here), and as much missed as others
      | runners                            | demand                   | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000, m 50/10        | none                     |
      | e1[m,n; disk m,n,big]              | big 1000, m 5/10         | unload n e1, unload m e1 |

    Examples: what gives way is what is missed least
      | runners                                     | demand               | moves        |
      | e1[big; disk o] e2[m,n] e3[big]             | o 9, big 90          | unload big e1 |
      | e1[big; disk o] e2[m,n] e3[big]             | o 9, big 6000        | load o e2    |

    Examples: what room was made for has the first call on it
      | runners                            | demand          | moves                    |
      | e1[m; disk n,o; room o] e2[m; disk n] | o 9, n 900   | load o e1, load n e2     |
      | e1[m; disk n,o; room o] e2[o]      | n 900           | load n e1                |
      | e1[m,n; disk o; room big] e2[o]    | m 9             | none                     |

    Examples: what room was made for goes on making room, where one unload was not enough
      | runners                            | demand          | moves                    |
      | e1[m; disk m,n,big; room big] e2[n] | big 1000       | unload m e1, load m e2   |
      | e1[m; disk n,big; room big] e2[n]  | big 1000        | unload n e2, load n e1   |

    Examples: for a second replica, it goes on only with what is as good as idle
      | runners                                  | demand              | moves            |
      | e1[n,o; disk n,o,m; room big] e2[big]    | big 3000, n 9, o 9  | unload n e1, unload o e1 |
      | e1[n,o; disk n,o,m; room big] e2[big]    | big 3000, n 500, o 500 | none          |

    Examples: the last copy of a model gives way only where nobody asks and it is quick to return
      | runners                            | demand            | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000          | unload m e1, unload n e1 |
      | e1[m,n; disk m,n,big]              | big 1000, m 500   | none                     |
      | e1[m,n; disk m,n,big]              | big 3000, m 500   | unload n e1, unload m e1 |
      | e1[m,n; disk m,big]                | big 1000          | none                     |
      | e1[m,n; disk m,n,big]              | none              | none                     |
      | e1[m,n; disk m,n,big] e2[m]        | none              | none                     |

    Examples: copies of what fills a runner
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

    Examples: a second replica of what cannot wait, for the case that the only one is lost
      | runners                            | demand            | moves                    |
      | e1[m] e2[n; disk m]                | m 3000            | load m e2                |
      | e1[m] e2[n]                        | m 100             | none                     |
      | e1[m] e2[big; disk big,m]          | m 3000            | unload big e2            |
      | e1[m] e2[big; disk big,m]          | m 3000, big 500   | none                     |
      | e1[m] e2[m; disk big,m]            | m 3000, big 9     | unload m e2              |
      | e1[m] e2[m,n,o; disk n,o,p]        | m 3000, p 300     | unload n e2, load n e1   |

    Examples: copies of what is refused for want of room, though it would fill no runner
      | runners                            | demand                | moves                |
      | e1[m] e2[n; disk m]                | m 1000!700            | load m e2            |
      | e1[m] e2[big; disk big,m]          | m 1000!700            | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 1000!700, big 100   | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 1000!700, big 500   | none                 |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 500~ | unload big e2        |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 900~ | none                 |
      | e1[m] e2[big; disk big,m]          | m 9000!4000, big 500  | none                 |

    Examples: a second copy that ended refusals stays, and one that did not may go
      | runners                            | demand                | moves                |
      | e1[m] e2[m; disk big,m]            | m 1000!700, big 400   | none                 |
      | e1[m] e2[m; disk big,m]            | m 1000, big 400       | unload m e2          |

    Examples: what can wait for its model gives way sooner, and what is in use later
      | runners                            | demand                | moves                    |
      | e1[m,n; disk m,n,big]              | big 1000, m 500, n 9  | none                     |
      | e1[m,n; disk m,n,big]              | big 1000, m 500~, n 9 | unload n e1, unload m e1 |
      | e1[m,n,o; disk m,n,o; use m]       | p 900                 | unload n e1              |
      | e1[m,n,o; disk m,n,o]              | p 900                 | unload m e1              |

    Examples: room is made for a model once
      | runners                               | demand  | moves       |
      | e1[big; disk o; busy 1; room o] e2[big; disk o,big] | o 900 | none |
      | e1[big; disk o; busy; room o] e2[big; disk o,big]   | o 900 | unload big e2 |

    Examples: a load or an unload shuts its runner for adapters that are awaited
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

    Examples: what cannot wait gets its second replica while the first one is being loaded
      | runners                                        | demand          | moves            |
      | e1[n; coming o; busy 8] e2[m]                  | o 3000          | load o e2        |
      | e1[n; coming o; busy 8] e2[m]                  | o 30            | none             |
      | e1[n; coming o; busy 8] e2[m]                  | o 3000~         | none             |

    Examples: a model is kept until its callers have come back
      | runners                                        | demand          | moves            |
      | e1[big; disk o,big; kept big]                  | o 900           | none             |
      | e1[big; disk o,big]                            | o 900           | unload big e1    |
      | e1[m,n; disk m,n,o; kept m]                    | o 900           | load o e1        |

  Scenario: a model that was loaded for callers stays until they are back
    Given a lease holder over runners holding m+n of 200 GB
    When x is asked for and loaded, and then y, which only fits in its place
    Then x stays for 3.5 s, and y stands within 10 s

  Scenario Outline: what was asked in vain of a model stays owed until it stands somewhere
    Given a lease holder over runners holding m+n, m+n of 200 GB
    When x, which fits nowhere, is asked for <tokens> tokens <times> times in 12 s
    Then between <least> and <most> tokens are owed to it
    And nothing is owed to m

    Examples: demand falls to a third within 3 s of the last request, what is owed does not
      | tokens | times | least | most  |
      | 1000   | 1     | 600   | 1400  |
      | 1000   | 3     | 2000  | 4000  |
      | 3000   | 3     | 6000  | 12000 |

  Scenario Outline: the weight store's rate is spent only on loads from it
    Given a lease holder whose weight store allows <rate> loads a second
    When two models are wanted that are <where>
    Then <loads> are ordered within a second

    Examples:
      | rate | where                  | loads |
      | 0.01 | on a runner's disk     | 2     |
      | 0.01 | in the weight store    | 0     |
      | 10   | in the weight store    | 2     |

  Scenario Outline: a model's pace is what a prompt's tokens add to the time to a first event
    Given prompts of <tokens> tokens read in <took> ms
    When they are told of the model m, after 10 tokens in 40 ms and thrice 2000 in 140 ms of n
    Then m counts for <part> of n

    Examples:
      | tokens                 | took                  | part |
      | 2000, 2000, 2000       | 50, 50, 50            | 0.10 |
      | 2000, 2000             | 50, 50                | 1.00 |
      | 4000, 4000, 4000       | 140, 140, 140         | 0.50 |
      | 2000, 2000, 8000       | 50, 50, 60            | 0.07 |
      | 2000, 2000, 1000       | 50, 50, 140           | 0.50 |
      | 900, 900, 900          | 50, 50, 50            | 1.00 |
      | 2000, 2000, 2000       | 41, 41, 41            | 0.05 |

  Scenario Outline: an endpoint gets another prompt while it has little to read
    Given a relaying node whose one runner has a prompt of <unread> tokens to read
    When a prompt of <tokens> tokens comes
    Then it is <sent>

    Examples: 4,096 tokens at most, or one prompt of any size
      | unread | tokens | sent     |
      | 3000   | 1000   | sent     |
      | 3000   | 1200   | not sent |
      | 0      | 9000   | sent     |
      | 9000   | 10     | not sent |

  Scenario: demand and unread prompts are counted by what they take to read
    Given a lease holder over runners holding m+n, m+n of 200 GB
    When m reads ten times as fast as n, and 3000 tokens of each are asked for
    Then m is asked for a tenth of what n is, and its unread prompt is a tenth as long

  Scenario: with fewer places than models, each model that is asked for is reached in time
    Given 200 models of skewed demand over 45 runners of three places
    When plans are made for 90 s
    Then each model stood somewhere, and none was away for longer than 45 s
    And the 20 models most asked for stood 95 % of the time
