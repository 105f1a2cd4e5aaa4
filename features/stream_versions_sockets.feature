@relay
Feature: Streams at services of several software versions, between sockets

  Scenario Outline: no stream goes on at another software version within one answer
    Given 1 linked nodes, and endpoints of the versions <versions>
    When 12 resumable streams break off after the third event
    Then no stream has events of two versions
    And each has one head and each event once, and at least <whole> in 100 are whole

    Examples:
      | versions            | whole |
      | v1, v1, v2, v2, v2  | 100   |
      | v1, v2, v3          | 0     |
      | v1, v1, v1          | 100   |

  Scenario Outline: no stream goes on at an endpoint that is back as another version than its entry says
    Given 1 linked nodes, and endpoints of the versions v1, v1, v2
    When <trouble>, the second endpoint is back as v2, and 12 resumable streams break off
    Then no stream has events of two versions
    And each has one head and each event once, and at least 0 in 100 are whole

    Examples:
      | trouble                    |
      | the store is away          |
      | the store is just back     |

  Scenario: no stream goes on at an endpoint whose new version is listed as its node connects
    Given 1 linked nodes, and endpoints of the versions v1, v1, v2
    When the second endpoint is back and listed as v2 as the rest of one of 12 streams connects
    Then that one was not run there
    And each has one head and each event once, and at least 75 in 100 are whole

  Scenario: a stream's rest that waited for its endpoint's version until its deadline was not sent
    Given 1 linked nodes, and endpoints of the versions v1, v1, v2
    When entries stay old, and a resumable stream breaks off after the third event
    Then no attempt at an endpoint counts as sent that was not

  Scenario: while the store answers that nothing has changed, entries are what their processes are
    Given 1 linked nodes, and endpoints of the versions v1, v1, v2
    When nothing changes for 6 s
    Then no new connection was ever thought to lead to another process

  Scenario: streams go on over connections that were open before the store went away
    Given 1 linked nodes, and endpoints of the versions v1, v1, v2
    When the store is away, and 12 resumable streams break off
    Then no stream has events of two versions
    And each has one head and each event once, and at least 30 in 100 are whole

  Scenario Outline: no caller's try goes on at another software version than its stream began at
    Given 4 linked nodes, and endpoints of the versions <versions>
    When 40 callers leave their streams after the third event, and take them up <where>
    Then no stream has events of two versions
    And at least <percent> in 100 of the streams went on, and each has each event once
    And each other was refused as not run

    Examples:
      | versions            | where                                            | percent |
      | v1, v1, v2, v2      | at another node                                  | 100     |
      | v1, v1, v2, v2      | at another node, as that of their first is killed | 90      |
      | v1, v1, v2, v2      | at another node, as two of four are killed       | 50      |
      | v1, v1, v2, v2      | twice, at two other nodes                        | 100     |
      | v1, v1, v2, v2      | at another node, and no endpoint of v1 is left   | 0       |
      | v1, v1, v1          | at another node                                  | 100     |

  Scenario Outline: a stream whose begin no node knows goes on only where one version alone serves
    Given 2 linked nodes, and endpoints of the versions <versions>
    When a caller takes up a stream that began at no node that is left
    Then <what>

    Examples:
      | versions   | what                                       |
      | v1, v2     | the rest is refused without a time to retry |
      | v1, v1     | it goes on after the third event           |

  Scenario: a node that has just started learns from others that a version has gone
    Given 3 linked nodes, and endpoints of the versions v1, v2
    When v2 goes, the first node restarts, and a caller takes up a stream there that none knows
    Then the rest is refused without a time to retry

  Scenario: a stream that is handed over after it has begun goes on at the version that began it
    Given 2 linked nodes, and endpoints of the versions v1, v2, v2, v2, v2
    When the first node loses its way to all endpoints in the midst of a stream of v1
    Then the bytes that its caller got are one head and the events 1 to 5, each once
    And no endpoint of v2 ran it

  Scenario: no take-up goes on at another version after all nodes have restarted
    Given 1 linked nodes, and endpoints of the versions v2, v1
    When a stream of v2 is left, the node restarts, its endpoint is back as v1, and it is taken up
    Then the rest is refused without a time to retry

  Scenario: where one version alone has served, a take-up goes on after all nodes have restarted
    Given 2 linked nodes, and endpoints of the versions v1, v1
    When all nodes restart at once, and a caller takes up a stream that none knows
    Then it goes on after the third event

  Scenario: no take-up goes on at another version after all nodes have restarted, the holder later
    Given 2 linked nodes, and endpoints of the versions v1, v2
    When v2 goes, the lease's holder restarts, and after 3 s all nodes, and a stream is taken up
    Then the rest is refused without a time to retry

  Scenario Outline: a node that can't read the lease as it starts asks others what served before
    Given 2 linked nodes, and endpoints of the versions v1, v1
    When a node starts without the lease, the other has run for <seconds> s, and it is asked
    Then <what>

    Examples:
      | seconds | what                                        |
      | 5       | the rest is refused without a time to retry |
      | 121     | it goes on after the third event            |

  Scenario: a take-up that waits at a node without entries goes on at no other version later
    Given 2 linked nodes, and endpoints of the versions v1, v2
    When a node starts while the store is away, and entries come as a stream is taken up there
    Then the rest is refused without a time to retry

  Scenario: a take-up that was bound to no version is not sent once a second version serves
    Given 1 linked nodes, and endpoints of the versions v1, v1
    When a second version is listed as a stream that none knows is taken up
    Then the rest is refused without having run
