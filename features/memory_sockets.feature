@relay
Feature: A node stays within its memory whatever endpoints send without end

  # Guards against bounds for each answer and for none of them together.
  Scenario Outline: many requests at once to endpoints that send without end cost these alone
    Given a node process of 160 MB between sound endpoints and those that do: <script>
    When it gets 60 requests at a time for the latter, and others, for 6 s
    Then its process took 120 MiB at most
    And 97 of 100 of the others were answered

    Examples:
      | script             |
      | body without end   |
      | chunks without end |
      | length without end |
      | event without end  |

  # Guards against one loop's turn that is as long as all reads of all faulty endpoints together.
  Scenario Outline: many requests at once to endpoints that send small parts without end
    Given a node process of 160 MB between sound endpoints and those that do: <script>
    When it gets 60 requests at a time for the latter, and others, for 6 s
    Then its process took 120 MiB at most
    And 97 of 100 of the others were answered
    And no caller of the latter waited for longer than 0.2 s after the deadline

    Examples:
      | script                   |
      | small events without end |
      | small chunks without end |

  # Guards against bytes of callers that are bounded a connection and not together.
  Scenario Outline: many callers' bytes cost their own requests alone
    Given a node process of 160 MB that callers flood with <kind>
    When it gets <many> of their connections at a time, and others, for 6 s
    Then its process took 120 MiB at most
    And 97 of 100 of the others were answered

    Examples:
      | kind                         | many |
      | bodies that never end        | 60   |
      | bodies that run              | 60   |
      | answers that aren't read     | 60   |
      | answers that are read slowly | 60   |
      | pipelined bytes              | 500  |
      | streams that aren't read     | 300  |

  # 60 that were sent before the first failures, and a probe after each ejection.
  Scenario Outline: an endpoint that sends without end is ejected as any that fails
    Given a node process of 160 MB and two endpoints of a service, one of which does: <script>
    When it gets 60 requests at a time for the latter, and others, for 6 s
    Then the faulty endpoint was ejected: it got 70 requests at most of 300 or more

    Examples:
      | script                   |
      | body without end         |
      | event without end        |
      | small events without end |
      | small chunks without end |
