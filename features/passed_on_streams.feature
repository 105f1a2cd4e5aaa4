Feature: A stream that another node passes on is checked, and known, event by event

  Scenario Outline: events that another node sends follow those that the caller has got
    Given a resumable stream whose caller has got the events <before>
    When another node sends the events <sent>, and <end>
    Then its caller gets the events <got>, and its stream <fate>
    And the rest would be asked for after event <last>

    Examples: it begins
      | before | sent    | end             | got     | fate          | last |
      | none   | 1, 2, 3 | ends its stream | 1, 2, 3 | ends whole    | 3    |
      | none   | 1, 2, 3 | is lost         | 1, 2, 3 | isn't told    | 3    |
      | none   | 1, 3, 2 | ends its stream | 1, 3    | isn't told    | 3    |
      | none   | 1, 2, 2 | ends its stream | 1, 2    | isn't told    | 2    |

    Examples: it goes on
      | before | sent    | end             | got     | fate          | last |
      | 1, 2   | 3, 4    | ends its stream | 3, 4    | ends whole    | 4    |
      | 1, 2   | 3, 4    | is lost         | 3, 4    | isn't told    | 4    |
      | 1, 2   | 1, 2, 3 | ends its stream | none    | isn't told    | 2    |
      | 1, 2   | no id   | ends its stream | none    | isn't told    | 2    |

    Examples: its end shows nothing
      | before | sent    | end                                     | got  | fate       | last |
      | none   | 1, 2    | breaks off within an event and ends     | 1, 2 | isn't told | 2    |
      | none   | 1, 2    | ends its stream at the deadline         | 1, 2 | isn't told | 2    |

  Scenario Outline: only events after which a stream can go on are told as progress
    Given a resumable stream whose caller has got the events none
    When another node sends the events <sent>, and is lost
    Then <told> events were told as progress

    Examples:
      | sent         | told |
      | 1, 2         | 2    |
      | no id, no id | 0    |
