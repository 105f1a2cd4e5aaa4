Feature: Odd values of callers, operators, runners and the store at the product's own interfaces

  # Guards against a 500, a failed task or a traceback where the value could be named.

  Scenario Outline: a caller's value that can't be read is named
    Then <field> with <value> is refused with <status>, naming <named>

    Examples:
      | field                | value       | status | named               |
      | an event id's offset | 5000 digits | 400    | Last-Event-ID       |
      | an event id's offset | ²           | 400    | Last-Event-ID       |
      | an event id's offset | ٣           | 400    | Last-Event-ID       |
      | an attempt           | 5000 digits | 400    | X-Rookspring-Attempt |
      | an attempt           | ²           | 400    | X-Rookspring-Attempt |
      | an attempt           | 0           | 400    | X-Rookspring-Attempt |
      | a version            | 5000 digits | 400    | If-Match            |
      | a version            | ²           | 400    | If-Match            |
      | a caller's key       | no UTF-8    | 401    | Authorization       |
      | an operator's key    | no UTF-8    | 401    | Authorization       |
      | a header of a call   | no UTF-8    | 400    | x-odd               |
      | a trace              | no UTF-8    | 400    | traceparent         |
