Feature: An endpoint gets no more requests a second than it names, from all nodes together

  # What users saw: a model runner that named 1.4 requests a second in its answers got 14 in four
  # seconds from nodes that had passed such answers on, where 13 are borne. The order of events: the runner begins to
  # name a rate; within a second or eight each node passes on an answer that does; each goes on to choose the runner
  # as before.

  Scenario Outline: one of several that hold a model gets no more than it names
    Given <nodes> nodes, and an endpoint among 4 that names <rate> requests a second
    When <asked> requests a second come to nodes by chance for 20 s
    Then in no 4 s it got more than users bear, from nodes that it had told

    Examples:
      | nodes | rate | asked |
      | 9     | 1.4  | 30    |
      | 9     | 0.2  | 30    |
      | 69    | 1.4  | 40    |
      | 69    | 6    | 120   |
      | 195   | 1.4  | 60    |
