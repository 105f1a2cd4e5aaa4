@relay
Feature: Endpoints' speeds are learnt from streams and shared

  Scenario Outline: the speeds of unlike endpoints are learnt, whatever models they have
    Given 91 nodes that measure <streams> streams a second at endpoints of speed <speeds>, with models <models>
    When <seconds> s pass at the nodes
    Then each speed is within <error> % of the true one, in each of 4 runs

    Examples: many requests
      | speeds      | models    | streams | seconds | error |
      | 0.7 0.7 1.7 | ab ac ab  | 13      | 5       | 10    |
      | 0.7 0.7 1.7 | ab ac ab  | 13      | 10      | 8     |
      | 0.7 0.7 1.7 | ab ac ab  | 13      | 20      | 8     |
      | 0.7 0.7 1.7 | abc ab a  | 60      | 5       | 8     |

    Examples: few requests
      | speeds      | models    | streams | seconds | error |
      | 0.7 0.7 1.7 | ab ac ab  | 4       | 10      | 16    |
      | 0.7 0.7 1.7 | ab ac ab  | 4       | 20      | 16    |

  Scenario Outline: a hot model without another endpoint doesn't hide what the others say
    Given 24 nodes that measure <streams> streams a second at endpoints of speed 0.7 0.7 1.7, with models aaaaaaaaad bbbbbbbbbd cccccccccd
    When 10 s pass at the nodes
    Then each speed is within 16 % of the true one, in each of 4 runs

    Examples:
      | streams |
      | 100     |
      | 400     |

  Scenario: models without another endpoint say nothing of the speed of theirs
    Given 91 nodes that measure 13 streams a second at endpoints of speed 0.5 1 2, with models a b c
    When 10 s pass at the nodes
    Then all speeds are exactly 1.0

  Scenario Outline: an endpoint that turns slow is followed within seconds
    Given 91 nodes that measure <streams> streams a second at endpoints of speed 1 1 1 1, with models ab ac ab ab
    When 10 s pass at the nodes
    Then all speeds are exactly 1.0
    When e2 turns 5 times slower
    And <slow> s pass at the nodes
    Then the speed of e2 is at most 0.5
    When e2 turns well again
    And 9 s pass at the nodes
    Then all speeds are exactly 1.0

    Examples:
      | streams | slow |
      | 16      | 4    |
      | 8       | 5    |

  Scenario Outline: equal endpoints count as exactly equal
    Given 91 nodes that measure <streams> streams a second at <number> equal endpoints with a noise of <noise> %
    When one of them is <full>
    Then all speeds are exactly 1.0 for 12 s

    Examples:
      | number | streams | noise | full           |
      | 3      | 13      | 8     | like the rest  |
      | 3      | 13      | 25    | full           |
      | 3      | 3       | 25    | full           |
      | 45     | 200     | 25    | like the rest  |
      | 45     | 200     | 25    | full           |
      | 45     | 20      | 25    | full           |

  Scenario Outline: a full endpoint reads little slower than the rest
    Given a stream at an endpoint that is <full>
    Then its samples are at most <per_cent> % above the time of a step

    Examples:
      | full          | per_cent |
      | empty         | 2        |
      | full          | 25       |

  Scenario Outline: one node that measures wrongly moves a speed by a bounded part
    Given 91 nodes that measure <streams> streams a second at endpoints of speed 0.7 0.7 1.7, with models ab ac ab
    And one of the nodes measures <factor> times the time at <endpoint>
    When 15 s pass at the nodes
    Then each speed is within <error> % of the true one, in each of 4 runs

    Examples:
      | streams | factor | endpoint | error |
      | 60      | 1000   | e3       | 12    |
      | 60      | 0.001  | e1       | 12    |
      | 13      | 1000   | e3       | 25    |
      | 13      | 0.001  | e1       | 25    |

  Scenario Outline: what a restart, silence and other settings do to a speed
    Given a node with the option <option>, which learnt that e1 is slow
    Then the speed of e1 is <before>
    When <event>
    Then the speed of e1 is <after>

    Examples:
      | option | before   | event                                             | after     |
      | on     | below 1  | e1 restarts                                       | exactly 1 |
      | on     | below 1  | e1 restarts, and samples of before arrive late    | exactly 1 |
      | on     | below 1  | e1 restarts, and a speed of before arrives late   | exactly 1 |
      | on     | below 1  | nobody measures for 8 s                           | below 1   |
      | on     | below 1  | nobody measures for 25 s                          | exactly 1 |
      | on     | below 1  | the option is switched off                        | exactly 1 |
      | on     | below 1  | samples at an unknown endpoint and model arrive   | below 1   |
      | off    | exactly 1 | nothing                                          | exactly 1 |

  Scenario Outline: the rows pass from leaves over relays to all nodes
    Given <nodes> relay nodes with the option <option>, which have run for 8 s
    When the nodes measure for 5 s that e0 is <times> times slower
    Then each node's speed of e0 is from <least> to <most>
    And the nodes sent <messages> on speeds

    Examples:
      | nodes | option | times | least | most | messages |
      | 9     | on     | 3     | 0.25  | 0.45 | messages |
      | 30    | on     | 3     | 0.25  | 0.45 | messages |
      | 30    | on     | 1     | 1.0   | 1.0  | messages |
      | 30    | off    | 3     | 1.0   | 1.0  | nothing  |

  Scenario: followers keep the speeds when their relays fail, until other relays send them
    Given 30 relay nodes with the option on, which have run for 8 s
    When the nodes measure for 5 s that e0 is 3 times slower
    And the relays of a data centre are killed
    Then each node's speed of e0 is from 0.25 to 0.45
    When the nodes measure for 5 s that e0 is 3 times slower
    Then each node's speed of e0 is from 0.25 to 0.45
    When 20 s pass without a sample
    Then each node's speed of e0 is from 1.0 to 1.0

  Scenario Outline: messages are bounded, whatever the number of endpoints
    Given a relay with samples and speeds of <endpoints> endpoints, with 3 models each
    Then its messages have at most <bytes> bytes
    And after <messages> messages each row was sent

    Examples:
      | endpoints | bytes | messages |
      | 45        | 5200  | 2        |
      | 1000      | 5200  | 24       |

  Scenario Outline: the times between events are measured as they arrive
    Given a stream whose events arrive after <times> ms
    Then its samples are <samples> ms

    Examples:
      | times                                    | samples |
      | 10 20 30 40 50 60 70 80                  | 10      |
      | 10 20 30 40                              | 10      |
      | 10 20 30                                 | none    |
      | 10 20 30 230 240 250 450 460             | 10      |
      | 20 20 20 50 50 50 80 80 80 110 110 110   | 10      |
      | 300 600 900 1200 1500                    | 300     |

  Scenario: a caller who reads slowly does not make the endpoint look slow
    Given an answer whose parts arrive every 10 ms and are taken every 100 ms
    Then the times of arrival are 10 ms apart

  Scenario: a relayed stream gives a sample at its end
    Given a relay node with one endpoint that does: stream
    When a caller streams from a model of it
    Then the node has measured 0.5 to 20 ms an event
    And its metrics have the speed of each known endpoint

  Scenario: a stream from which reading was stopped gives no sample
    Given a relay node with one endpoint that does: stream
    When a caller streams from a model of it, and reading stops after each part until it is taken
    Then the node has measured nothing

  Scenario: a change of speed is logged where it is computed
    Given 91 nodes that measure 13 streams a second at endpoints of speed 0.7 0.7 1.7, with models ab ac ab
    When 20 s pass at the nodes
    Then each speed that differs was logged at most 3 times, with its samples and age

  Scenario: the samples that a node keeps are bounded, however many nodes send some
    Given a node with the option on, which learnt that e1 is slow
    When 40 nodes send a sample of each endpoint, where 50 sums may be kept
    Then the node keeps at most 53 sums
