Feature: Contract tests of the platform adapters and the endpoint client

  Scenario Outline: each platform adapter follows the contract
    Given a platform behind its client
    When it gets: <calls>
    Then it answers <answers>

    Examples:
      | calls                                                  | answers                     |
      | create a                                               | done                        |
      | create a, create a                                     | done conflict               |
      | create a, change a, change a at an old version         | done done conflict          |
      | read a                                                 | missing                     |
      | create a, read a                                       | done done                   |
      | create a, delete a, read a                             | done done missing           |
      | delete a                                               | missing                     |
      | create a, watch from the start                         | done 1-change               |
      | create a, delete a, watch from the start               | done done 2-changes         |
      | watch from the end                                     | 0-changes                   |
      | discard history, watch from the start                  | done too-old                |
      | create a of two megabytes                              | refused                     |
      | list, create a, list                                   | 0-items done 1-items        |
      | outage begins, create a, outage ends, create a         | done unreachable done done  |
      | answers are lost, create a, answers arrive, read a     | done unreachable done done  |
      | too many calls                                         | refused                     |
      | read boxes                                             | 0-items                     |

  Scenario Outline: the endpoint client follows the contract with a runner
    Given a runner behind the endpoint client
    When it gets: <calls>
    Then it answers <answers>

    Examples:
      | calls                                                    | answers                    |
      | generate of an absent model                              | not-run                    |
      | load m, generate                                         | accepted 5-tokens          |
      | load m, generate from 3                                  | accepted 2-tokens          |
      | load m, leave, generate                                  | accepted done not-run      |
      | load m, generate, resume from 2                          | accepted 5-tokens 3-tokens |
      | resume from 2                                            | broken                     |
      | load m, load m with an older token                       | accepted refused           |
      | load m, load m with the same token                       | accepted accepted          |
      | load m, load too much                                    | accepted refused           |
      | load m for another incarnation                           | refused                    |
      | lose orders, load m                                      | done unanswered            |
      | load m, report                                           | accepted loading           |
      | stop, generate                                           | done unsent                |

  Scenario: shards of old heads are deleted, and the last revision can be read in full
    Given a platform behind its client
    When 12 revisions are published to it
    Then at most 5 shards of a changed resource are kept
    And another reader gets the whole last revision
