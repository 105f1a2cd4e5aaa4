@sockets @traced
Feature: Requests over real sockets, from the caller to the endpoints

  Scenario Outline: a faulty request is refused with the name of the field and is not run
    When a caller sends <request>
    Then the status is <status> and the error names <field> and gives outcome not_run

    Examples:
      | request                                   | status | field                    |
      | a chat without a key                      | 401    | Authorization            |
      | a chat with an unknown key                | 401    | Authorization            |
      | a chat that is not JSON                   | 400    | body                     |
      | a chat that is a list                     | 400    | body                     |
      | a chat with an unknown model              | 404    | model                    |
      | a chat with an unknown adapter            | 404    | model                    |
      | a chat without messages                   | 400    | messages                 |
      | a chat with a number as content           | 400    | messages.0.content       |
      | a chat with 0 tokens                      | 400    | max_tokens               |
      | a chat with stream "yes"                  | 400    | stream                   |
      | a chat with deadline "soon"               | 400    | X-Rookspring-Deadline-Ms |
      | a chat with deadline "-5"                 | 400    | X-Rookspring-Deadline-Ms |
      | a chat with priority "urgent"             | 400    | X-Rookspring-Priority    |
      | a chat with session "made-up"             | 400    | X-Rookspring-Session     |
      | a chat with event id "made-up~3"          | 400    | Last-Event-ID            |
      | a chat of two megabytes                   | 413    | request                  |
      | a call of an unknown service              | 404    | path                     |
      | an unrepeatable call without a key        | 400    | Idempotency-Key          |
      | an unrepeatable call with key "plain"     | 400    | Idempotency-Key          |
      | an unrepeatable call with key "forged-session/1" | 400 | Idempotency-Key      |
      | an unknown path                           | 404    | request                  |
      | a resource without a key                  | 401    | Authorization            |
      | a resource of an unknown kind             | 404    | kind                     |
      | a resource with a faulty field            | 422    | resource                 |
      | a resource with version "x"               | 400    | If-Match                 |
      | a resource with version "²"               | 400    | If-Match                 |
      | a chat with attempt "²"                   | 400    | X-Rookspring-Attempt     |
      | a chat with an attempt of 5,000 digits    | 400    | X-Rookspring-Attempt     |

  Scenario: the openai client streams from every address, and one trace covers each hop
    When the openai client streams from every address that is given
    Then each answer is whole
    And one trace covers the spans entry, endpoint of each answer

  Scenario: one trace covers a keyed call that is forwarded to another node
    Given a session at box-2
    When key 1 is sent to box-1 within a trace
    Then one trace covers the spans forward, entry, endpoint of each answer

  Scenario Outline: a key runs at most once, whichever nodes it is sent to
    Given a session at box-1
    When key 1 is sent to <places>
    Then the outcomes are <outcomes> and it ran <runs> times

    Examples:
      | places                          | outcomes        | runs |
      | box-1                           | ran             | 1    |
      | box-2                           | ran             | 1    |
      | box-1, box-2, box-3             | ran ran ran     | 1    |
      | box-1, box-2 with another body  | ran not_run     | 1    |
      | box-1 and box-2 at once         | ran ran         | 1    |
      | box-1 by another team           | not_run         | 0    |
      | box-1 while answers are lost    | unknown         | 1    |
      | box-1 while answers are lost, box-2 | unknown unknown | 1 |

  Scenario: a long answer is forwarded whole, and the link between the nodes stays
    Given a session at box-2
    When key 1 is sent to box-1, for an answer of 12 MB
    Then its caller gets ran, and it ran once
    And the link between box-1 and box-2 is the one before

  Scenario Outline: a forwarded answer that breaks off <where> is not told as whole
    Given a session at box-2
    When key 1 is sent to box-1, and the link to box-2 ends <where>
    Then its caller gets <what>, and it ran once

    Examples:
      | where                  | what             |
      | before the answer      | unknown          |
      | behind its head        | no whole answer  |
      | within its body        | no whole answer  |

  Scenario Outline: an unrepeatable call is not resent by the HTTP library
    Given a service endpoint that <fault>
    When an unrepeatable <method> is sent to it by the endpoint client
    Then it arrived <times> times and the failure reports sent <sent>

    Examples:
      | fault                               | method | times | sent  |
      | resets after reading                | PUT    | 1     | true  |
      | resets after reading                | POST   | 1     | true  |
      | resets after reading                | GET    | 1     | true  |
      | closes after reading                | PUT    | 1     | true  |
      | closes after reading                | POST   | 1     | true  |
      | closes after reading                | GET    | 1     | true  |
      | closes kept-alive connections       | PUT    | 1     | never |
      | closes kept-alive connections       | POST   | 1     | never |
      | no longer listens                   | POST   | 0     | false |
      | ends its answer by a close alone    | POST   | 1     | true  |

  Scenario Outline: a service that lives on has not broken its connection by a close that ends its answer
    Given a service endpoint that <fault>
    When an unrepeatable POST is sent to it by the endpoint client
    Then the failure is <failure>

    Examples:
      | fault                            | failure             |
      | ends its answer by a close alone | an open end         |
      | resets after reading             | a broken connection |
      | closes after reading             | a broken connection |

  Scenario Outline: a repeatable call is resent by the HTTP library, so the outline above can fail
    Given a service endpoint that <fault>
    When a repeatable GET is sent to it by the endpoint client
    Then it arrived 2 times and the failure reports sent true

    Examples:
      | fault                |
      | resets after reading |
      | closes after reading |

  Scenario Outline: a stream is whole although <fault>
    When 4 streams of 150 tokens run while <fault>
    Then each answer is whole

    Examples:
      | fault                          |
      | nothing fails                  |
      | a runner's connections break   |
      | other callers disconnect       |

  Scenario: another team cannot resume a stream
    Given a stream of the team demo whose caller disconnected
    When another team resumes it
    Then the status is 403 and the error names Last-Event-ID and gives outcome not_run

  Scenario: of two concurrent updates of a resource, one succeeds and one gets a conflict
    When two operators change one resource from the same version
    Then one update succeeds and the other gets a conflict
    And a watch from the version before returns both changes
    And a watch from a version that is no longer kept gets status 410

  Scenario Outline: a node still serves after malformed input on a socket
    When <bytes> are sent to the <socket> socket
    Then the node still serves

    Examples:
      | bytes                | socket |
      | random bytes         | caller |
      | half a request       | caller |
      | endless headers      | caller |
      | random bytes         | peer   |
      | a huge message       | peer   |
      | a wrong proof        | peer   |
      | nothing              | peer   |
