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
      | a session            | no UTF-8    | 400    | X-Rookspring-Session |
      | an event id          | no UTF-8    | 400    | Last-Event-ID       |
      | a header of a call   | no UTF-8    | 400    | x-odd               |
      | a trace              | no UTF-8    | 400    | traceparent         |

  Scenario Outline: a malformed line of a runner's answer breaks its attempt off
    Then the line <line> is <read>

    Examples:
      | line                          | read      |
      | {"offset":3,"tokens":["a"]}   | tokens    |
      | {"end":5}                     | the end   |
      | {"end":1e300}                 | malformed |
      | {"end":-1}                    | malformed |
      | {"end":"x"}                   | malformed |
      | {"offset":"x","tokens":["a"]} | malformed |
      | {"offset":3,"tokens":5}       | malformed |
      | {"tokens":["a"]}              | malformed |
      | {}                            | malformed |
      | []                            | malformed |
      | 5                             | malformed |
      | {"x":{2000 levels}}           | malformed |

  Scenario Outline: a malformed report is none
    Then a runner's report with <field> of <value> is <read>

    Examples:
      | field       | value     | read      |
      | slots       | 4         | read      |
      | slots       | 1e300     | malformed |
      | slots       | -1        | malformed |
      | age_s       | infinity  | malformed |
      | age_s       | NaN       | malformed |
      | resident    | [["m"]]   | malformed |
      | order_token | [1]       | malformed |
      | order_token | [1, 2]    | read      |
      | incarnation | 5         | malformed |

  Scenario: a forwarded request without its fields is answered at once, as of unknown outcome
    When another node forwards a chat without fields
    Then the answer to it is 409 with the outcome unknown, and complete

  Scenario: a log line with text that no UTF-8 has is written all the same
    Then a log line with half of a surrogate is written as "event=x a=\udcff"

  Scenario: an odd object in the store keeps none of the others from the node
    When the store's list has an object without a name, one without a version, and a sound one
    Then the list gives the sound one, and the log names 2 odd ones

  Scenario Outline: an answer of the store that can't be read is a failed call
    Then a store's answer <answer> to a <call> is a failed call

    Examples:
      | answer | call  |
      | {      | get   |
      | []     | get   |
      | 5      | list  |
      | {}     | list  |
      | {}     | watch |
      | {}     | put   |
      | {}     | boxes |

  Scenario Outline: rookctl names what it can't read
    Then a document with <value> gives an error that names its file and <named>

    Examples:
      | value           | named      |
      | 5000 digits     | digits     |
      | 400 digits      | spec       |
      | 2000 levels     | nested     |
      | a 13th month    | month      |
      | a number as key | 5          |

  Scenario Outline: rookctl shows an error that it can't read
    Then an error of the API with the body <body> is shown as "<shown>"

    Examples:
      | body                           | shown   |
      | {"error":{"message":"reason"}} | reason  |
      | {"error":"x"}                  | refused |
      | {"error":[]}                   | refused |
      | []                             | refused |
