Feature: Rules for the repository and its modules

  Scenario: the page on the structure lists each module
    Then docs/design/house.md lists each module of the packages

  Scenario Outline: a package imports only the packages that it may depend on
    Then <package> imports no more than: <allowed>

    Examples:
      | package             | allowed                                          |
      | rookspring_core     | itself                                           |
      | rookspring          | rookspring_core, rookspring_fakes for the demo   |
      | rookspring_platform | rookspring_core, rookspring                      |
      | rookspring_fakes    | rookspring_core, rookspring                      |
      | rookspring_ctl      | rookspring_core, rookspring                      |

  Scenario: each decoded field is used
    Then each field of a decoded type is read, except for those in this table

      | field                | why                                                             |
      | AskSlots.passed      | read from any message to an owner (relay_owners)                |
      | AskPlaces.passed     | the same                                                        |
      | AskUnits.passed      | the same                                                        |
      | SlotReply.origin     | read from any reply of an owner (relay_owners)                  |
      | UnitsReply.origin    | the same                                                        |
      | SlotEnded.passed     | the same                                                        |
      | SlotFreed.passed     | the same                                                        |
      | UnitsReturned.passed | the same                                                        |
      | OriginMessage.passed | the same                                                        |
      | AskOrigin.passed     | the same                                                        |
      | OriginReply.origin   | read from any reply of an owner (relay_owners)                  |
      | ForwardStart.number  | read from any part of a forwarded answer (forwarding)           |
      | ForwardPart.number   | the same                                                        |
      | ForwardEnd.number    | the same                                                        |

  Scenario: the packages have no unused code
    Then vulture reports nothing in the packages, except for the fakes

  Scenario: the platform's names are used only in its adapter
    Then no module outside rookspring_platform contains a header or field of the platform

  Scenario: day files state their purpose and apply to any deployment
    Then each day file begins with a sentence on its purpose, and has the name of its day
    And no day file names a service, class of requests or data centre of one deployment

  Scenario Outline: only listed scenarios may fail, and they must fail
    Given a run in which the scenario "a" <ends>, and "b" passes
    When its results are compared with the list of known failures: <list>
    Then it counts <passed> passed and <failed> failed

    Examples:
      | ends   | list                    | passed | failed |
      | passes | none                    | 2      | 0      |
      | fails  | none                    | 1      | 1      |
      | fails  | a; why; how; issue 1    | 1      | 0      |
      | passes | a; why; how; issue 1    | 1      | 1      |
      | fails  | b; why; how; issue 1    | 0      | 2      |
      | passes | c; why; how; issue 1    | 2      | 1      |
      | passes | run: a day; why; how; 1 | 2      | 0      |
      | fails  | run: a; why; how; 1     | 1      | 1      |
      | passes | sometimes: a, at: it works; why; how; 1  | 2 | 0 |
      | fails  | sometimes: a, at: it works; why; how; 1  | 1 | 0 |
      | fails  | sometimes: a, at: it starts; why; how; 1 | 1 | 1 |
      | passes | sometimes: c, at: it works; why; how; 1  | 2 | 1 |
      | fails  | a; w; h; 1 / run: b; w; h; 1 / run: c; w; h; 1 / run: d; w; h; 1 / run: e; w; h; 1 / run: f; w; h; 1 / run: g; w; h; 1 / run: h; w; h; 1 / run: i; w; h; 1 | 1 | 0 |

  Scenario Outline: a failure is named with its scenario, its step and its error
    Given a run in which the scenario "a" <ends>, and "b" passes
    When its results are compared with the list of known failures: <list>
    Then its failures are named as: <line>

    Examples:
      | ends   | list                                     | line                                              |
      | passes | none                                     | none                                              |
      | fails  | none                                     | features/a.feature:1: a, at: it works; 3 \| for 4 |
      | fails  | a; why; how; issue 1                     | none                                              |
      | fails  | sometimes: a, at: it works; why; how; 1  | none                                              |
      | fails  | sometimes: a, at: it starts; why; how; 1 | features/a.feature:1: a, at: it works; 3 \| for 4 |
      | passes | a; why; how; issue 1                     | listed in KNOWN-RED.txt, but does not fail: a     |

  Scenario Outline: scenarios that are listed, and their rows, can be told by their title
    Then of the scenario <title>, it is <found> that the list <list> names it

    Examples:
      | title                | found     | list                                          |
      | a (at once)          | found     | a (at once); why; how; issue 1                |
      | a (at once) -- @1.2  | found     | a (at once); why; how; issue 1                |
      | a                    | found     | sometimes: a, at: it works; why; how; issue 1 |
      | a                    | found     | b; why; how; issue 1 / a; why; how; issue 1   |
      | a and more           | not found | a; why; how; issue 1                          |
      | b                    | not found | a; why; how; issue 1                          |
      | a                    | not found | run: a; why; how; issue 1                     |
      | a                    | not found | none                                          |

  Scenario Outline: an invalid list of known failures is an error
    Then the list of known failures <list> is rejected

    Examples:
      | list                                                             |
      | a                                                                |
      | a; why; how                                                      |
      | a; ; how; issue 1                                                |
