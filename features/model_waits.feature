Feature: Requests for models that are on no endpoint wait where the model will be there, and only there

  Guards against requests that wait in vain for a model that nobody loads, come back as told and wait in
  vain again until their deadline, and against refusals with a retry-after time that does not hold.

  Scenario Outline: an announced load decides whether a request waits
    Given a node whose requests wait by what is known
    And n is announced in <in_s> s
    When a request for n with an objective of <objective> s and a deadline of <deadline> s arrives
    Then within 0.2 s the request <fate>
    And a refusal names <least> to <most> s and "<why>"

    Examples: an announced model is usable 1 s after its load
      | in_s | objective | deadline | fate       | least | most | why                              |
      | 1.0  | 4.0       | 6.0      | waits      | -     | -    | -                                |
      | 2.1  | 4.0       | 6.0      | waits      | -     | -    | -                                |
      | 0.5  | 0.5       | 6.0      | is refused | 1.4   | 1.8  | announced at e1 in 1.            |
      | 4.0  | 4.0       | 30.0     | is refused | 4.9   | 5.3  | too late for the objective       |
      | 2.9  | 4.0       | 6.0      | waits      | -     | -    | -                                |
      | 6.0  | 4.0       | 6.0      | is refused | 6.8   | 7.3  | too late for the deadline        |

  Scenario Outline: without an announcement the node's own experience decides, once the holder could have answered
    Given a node whose requests wait by what is known
    And models that were missing came after <learnt> s
    When a request for n with an objective of <objective> s and a deadline of <deadline> s arrives
    Then the request is refused after <held> s
    And a refusal names <least> to <most> s and "<why>"

    # The holder's word takes 0.6 s; nobody waits for it for longer than a quarter of the objective.
    Examples:
      | learnt | objective | deadline | held | least | most | why                           |
      | none   | 4.0       | 6.0      | 0.6  | 1.6   | 1.8  | nothing announced or learnt   |
      | none   | 0.5       | 6.0      | 0.13 | 1.8   | 2.0  | nothing announced or learnt   |
      | 1.5    | 0.5       | 6.0      | 0.13 | 1.2   | 2.0  | learnt wait                   |
      | 1.5    | 4.0       | 6.0      | 3.0  | 0.9   | 1.0  | did not come in the learnt wait |
      | 2.9    | 3.0       | 12.0     | 0.6  | 2.1   | 3.6  | too late for the objective    |
      | 8.0    | 4.0       | 6.0      | 0.6  | 1.7   | 1.8  | too late for the deadline     |
      | never  | 4.0       | 6.0      | 0.6  | 1.7   | 1.8  | deadline: nothing announced, learnt wait 7. |

  Scenario Outline: a wait ends well where the model comes
    Given a node whose requests wait by what is known
    And models that were missing came after <learnt> s
    When a request for n with an objective of 4 s and a deadline of 6 s arrives
    And after <announced> s n is announced in <in_s> s
    And n arrives at e1 after <came> s
    Then by then the request <fate>

    Examples: the word comes at once, late, too late, and never; the load is on time and late
      | learnt | announced | in_s | came | fate       |
      | none   | 0.1       | 1.5  | 1.8  | is sent    |
      | none   | 0.5       | 1.5  | 2.4  | is sent    |
      | none   | 0.5       | 1.5  | 3.4  | is refused |
      | none   | 0.1       | 1.5  | 2.9  | is sent    |
      | none   | 0.9       | 1.0  | 2.2  | is refused |
      | 1.5    | -         | -    | 1.2  | is sent    |
      | 1.5    | 0.1       | 12.0 | 1.2  | is sent    |
      | none   | 0.1       | 12.0 | 1.2  | is refused |
      | none   | -         | -    | 0.4  | is sent    |
      | none   | -         | -    | 1.2  | is refused |

  Scenario Outline: a wait whose announced load lapses is decided anew at once
    Given a node whose requests wait by what is known
    And n is announced in 1.0 s
    When a request for n with an objective of 4 s and a deadline of <deadline> s arrives
    And 0.8 s later <event>
    Then within <held> s the request <fate>
    And <lapsed> waits lapsed

    Examples: the runner dies in its load, the holder dies or the load hangs, another announcement comes
      | event                                        | deadline | held | fate       | lapsed |
      | its runner has gone                          | 6.0      | 0.2  | is refused | 1      |
      | its runner is down                           | 6.0      | 0.2  | is refused | 1      |
      | its runner leaves                            | 6.0      | 0.2  | is refused | 1      |
      | nothing comes                                | 5.0      | 2.4  | is refused | 0      |
      | nothing comes                                | 30.0     | 2.4  | is refused | 1      |
      | its runner has gone and e2 is announced in 1 | 6.0      | 1.0  | waits      | 0      |
      | its runner has gone and e2 is announced in 9 | 6.0      | 0.2  | is refused | 0      |

  Scenario Outline: a caller that came back is decided by its own deadline
    Given a node whose requests wait by what is known
    And n is announced in <in_s> s
    When a request for n with an objective of 4 s and a deadline of 4 s arrives
    Then within <held> s the request <fate>

    Examples: two of its six seconds are over
      | in_s | held | fate       |
      | 0.8  | 0.2  | waits      |
      | 2.4  | 0.2  | waits      |
      | 3.4  | 0.2  | waits      |
      | 3.8  | 0.2  | is refused |
      | none | 0.8  | is refused |

  Scenario Outline: the lease holder is told the time that the caller was told
    Given a node whose requests wait by what is known
    And models that were missing came after <learnt> s
    When a request for n with an objective of <objective> s and a deadline of <deadline> s arrives
    Then the request is refused after <held> s
    And the lease holder knows by when the caller is back

    Examples:
      | learnt | objective | deadline | held |
      | 2.9    | 3         | 12       | 0.6  |
      | 1.5    | 4         | 6        | 3.0  |

  Scenario Outline: requests that waited for one model go out by rank when it comes
    Given a node whose requests wait by what is known
    And n is announced in 3.0 s
    When 3 patient requests for n of 3000 tokens arrive, and 2.5 s later an urgent one
    And n arrives at e1 after 0.7 s
    Then the urgent one is sent first

    Examples:
      | case |
      | room for one prompt |

  Scenario: waits are counted by their end
    Given a node whose requests wait by what is known
    And n is announced in 1.0 s
    When a request for n with an objective of 4 s and a deadline of 6 s arrives
    And n arrives at e1 after 1.2 s
    Then by then the request is sent
    And the waits ended are: served 1

  Scenario: a tick looks at each endpoint once, however many models are waited for
    Given a node whose requests wait by what is known
    And 20 more endpoints, each with another model announced and requested
    When a tick passes
    Then it looked for announced loads at 20 endpoints

  Scenario: a wait ends where the model's endpoint takes requests again, without a report
    Given a node whose requests wait by what is known
    And models that were missing came after 8.0 s
    And n is on e1, which is down and full
    When a request for n with an objective of 9 s and a deadline of 20 s arrives
    And a connection to e1 may succeed again
    Then the request waits for room, for a quarter of its objective

  Scenario: with the default options a request waits for the time of a load, as before
    Given a node with the default options
    And n is announced in 2.9 s
    When a request for n with an objective of 4 s and a deadline of 6 s arrives
    Then within 0.2 s the request is refused

  Scenario Outline: a surge of patient requests for rare models
    Given 80 models on no endpoint, of which the holder brings <loads> a second
    When callers with an objective of 4 s and a deadline of 6 s ask for them 30 times a second for 12 s, and wait by what is known
    Then at least <served> in 100 callers are served, <first> in 100 at their first try
    And at most 0 in 100 tries are held over half of their time without an answer
    And at least <back> in 100 of those who came back were served then

    Examples: all calls of three seeds
      | loads | served | first | back |
      | 12    | 98     | 98    | 0    |
      | 8     | 75     | 64    | 30   |

  Scenario Outline: a surge of patient requests, decided by the time of a load alone
    Given 80 models on no endpoint, of which the holder brings <loads> a second
    When callers with an objective of 4 s and a deadline of 6 s ask for them 30 times a second for 12 s, with the default options
    Then at most <first> in 100 callers are served at their first try
    And at least <held> in 100 tries are held over half of their time without an answer

    Examples: all calls of three seeds
      | loads | first | held |
      | 12    | 78    | 0    |
      | 8     | 50    | 7    |
