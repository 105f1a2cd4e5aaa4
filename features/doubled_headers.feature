@relay
Feature: A header that states two things is refused, since the endpoint may read the other one

  # Guards against a request of which the node reads the first value and the endpoint the last one:
  # an answer under the other id is passed over until the deadline, the other model or host runs what
  # the caller may not, and the other count of tokens needs memory that nobody has set aside.

  Scenario Outline: a request with a second, other value is refused with the header's name
    Given a relay node with one endpoint that does: answer
    When a caller's request states <header> as <value>, then as <second>, and another follows
    Then the first gets 400 with the name of <header>, and never reaches the endpoint
    And the other is answered on the same connection

    Examples:
      | header                   | value     | second        |
      | X-Rookspring-Request-Id  | q1        | zz            |
      | X-Rookspring-Request-Id  | q1        | Q1            |
      | X-Rookspring-Model       | m1        | m2            |
      | X-Rookspring-Model       | m1        | m1/a          |
      | X-Rookspring-Token-Count | 1,1       | 100000,100000 |
      | Resumes                  | q7        | q8            |
      | Host                     | h.example | other.example |

  Scenario Outline: a request that states the same twice is served
    Given a relay node with one endpoint that does: answer
    When a caller's request states <header> as <value>, then as <value>, and another follows
    Then both are answered, and the endpoint got no deadline more than 100 ms above that of the route

    Examples:
      | header                   | value     |
      | X-Rookspring-Request-Id  | q1        |
      | X-Rookspring-Token-Count | 1460,80   |
      | Host                     | h.example |
