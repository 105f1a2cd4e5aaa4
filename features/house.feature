Feature: The map of the modules is true

  Scenario: the page of the house names each module
    Then docs/design/house.md names each module of the packages

  Scenario Outline: a package imports only what stands above it
    Then <package> imports no more than: <allowed>

    Examples:
      | package             | allowed                                          |
      | rookspring_core     | itself                                           |
      | rookspring          | rookspring_core, rookspring_fakes for the demo   |
      | rookspring_platform | rookspring_core, rookspring                      |
      | rookspring_fakes    | rookspring_core, rookspring                      |
      | rookspring_ctl      | rookspring_core, rookspring                      |

  Scenario: nothing that is decoded from the wire is dropped unread
    Then each field of what is decoded has a reader, but those of this table

      | field                | why                                                             |
      | AskSlots.passed      | read of whichever message goes to an owner (relay_owners)       |
      | AskUnits.passed      | the same                                                        |
      | SlotReply.origin     | read of whichever reply an owner sends (relay_owners)           |
      | UnitsReply.origin    | the same                                                        |
      | SlotFreed.passed     | the same                                                        |
      | UnitsReturned.passed | the same                                                        |
      | ForwardStart.number  | read of whichever part of a forwarded answer comes (forwarding) |
      | ForwardPart.number   | the same                                                        |
      | ForwardEnd.number    | the same                                                        |

  Scenario: nothing of the product is there unused
    Then vulture names nothing in the packages, but the stand-ins

  Scenario: nothing outside the adapter knows the platform's names
    Then no module outside rookspring_platform names a header or field of the platform

  Scenario: our day files say what they are for and fit any deployment
    Then each day file says in its first line what it is for, and is named as its day
    And no day file names a service, a kind of request or a data centre of one deployment

  Scenario Outline: what is known to fail is printed, and nothing else is passed over
    Given a run in which the scenario "a" <ends>, and "b" passes
    When it is judged beside the list: <list>
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

  Scenario Outline: a list of known failures that is not as it ought to be is an error
    Then the list <list> is refused

    Examples:
      | list                                                             |
      | a                                                                |
      | a; why; how                                                      |
      | a; ; how; issue 1                                                |
      | a; w; h; 1 / b; w; h; 1 / c; w; h; 1 / d; w; h; 1 / e; w; h; 1 / f; w; h; 1 / g; w; h; 1 / h; w; h; 1 / i; w; h; 1 |
