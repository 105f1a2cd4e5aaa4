Feature: Places at model endpoints, ordered by one node for all nodes

  Scenario Outline: one organisation at 7.5 times its usual load takes no place from the others
    Given a model endpoint that 16 organisations load to 0.86 alone
    When one of them sends <times> times its usual load, placed by <way>
    Then each other gets at least <kept> of what it gets alone by the owner, and together <together>
    And the endpoint reads for at least <used> of the time

    Examples:
      | times | way       | kept | together | used |
      | 1     | the owner | 0.95 | 0.99     | 0.8  |
      | 7.5   | the owner | 0.95 | 0.97     | 0.95 |

  Scenario: by their nodes' own views the others lose more
    Given a model endpoint that 16 organisations load to 0.86 alone
    When one of them sends 7.5 times its usual load, placed by their own views
    Then the others together get less than 0.9 of what they get alone by the owner

  Scenario Outline: a surge of patient work does not delay urgent work, and is served in the troughs
    Given a model endpoint with 6 urgent requests a second
    When three times as many patient ones come in half of the time, placed by <way>
    Then at least <urgent> of the urgent ones and <patient> of the patient ones are in time
    And no request is answered later than its objective by more than <late> s

    Examples:
      | way       | urgent | patient | late |
      | the owner | 0.95   | 0.95    | 0.1  |

  Scenario: by their nodes' own views urgent work loses to a surge of patient work
    Given a model endpoint with 6 urgent requests a second
    When three times as many patient ones come in half of the time, placed by their own views
    Then less than 0.8 of the urgent ones are in time

  Scenario: a lasting surge of patient work is served in the room that urgent work leaves
    Given a model endpoint with 10 urgent requests a second
    When three times as many patient ones come all the time, placed by the owner
    Then at least 0.9 of the urgent ones and 0.25 of the patient ones are in time
    And the endpoint reads for at least 0.95 of the time
    And refused requests have waited for less than their objective

  Scenario Outline: an owner learns how fast its endpoint reads, whatever the nodes take it for
    Given a model endpoint with 12 urgent requests a second
    When nodes take it for <times> times as slow as it is, and it runs for 400 s
    Then at least 0.85 of the requests are in time

    Examples:
      | times |
      | 1     |
      | 4     |
      | 0.25  |

  Scenario: on a calm day hardly any request asks an owner
    Given a model endpoint with 0.2 urgent requests a second
    When it runs for 400 s, placed by the owner
    Then at most 0.03 of the requests ask an owner, and all are in time

  Scenario: on a calm day no request of a model with two endpoints asks an owner
    Given a node and two endpoints, both free, whose owners do not answer
    When 200 requests come, one every 0.1 s, each read after 0.15 s
    Then all are sent at once, and no owner is asked

  Scenario Outline: waiting requests are served by rank, by organisation and by arrival
    Given an owner's queue at an endpoint that is full
    When requests come: <requests>
    Then they are granted places in the order <order>

    Examples:
      | requests                          | order          |
      | a:2, b:1, c:2, d:0                | d, b, a, c     |
      | a:1:x, b:1:x, c:1:x, d:1:y        | a, d, b, c     |
      | a:2:x:4.0, after 2 s, b:1:y       | b, a           |
      | a:2:x:4.0, after 3 s, b:1:y       | a, b           |
      | a:2:x:4.0, after 3 s, b:0:y       | b, a           |
      | a:2:x:4.0, b:1:y, after 3 s, c:1:y | b, a, c       |
      | a:1, b:1, a leaves                | b              |

  Scenario Outline: an owner's answers
    Given an owner's queue at an endpoint that <endpoint>
    Then a request that may wait for <wait_s> s <answer>

    Examples:
      | endpoint                              | wait_s | answer                            |
      | has room                              | 0.1    | is granted a place                |
      | is full, and whose pace was measured  | 0.1    | is refused at once, for 0.5 to 3 s |
      | is full                               | 0.1    | waits                             |
      | is full for nodes, but not in the pause that its streams bear | 1.0 | is granted a place |
      | is full twice, and reads it in the pause that its streams bear | 1.0 | waits             |
      | is full                               | 1.0    | waits                             |
      | has no free slot                      | 1.0    | waits                             |
      | is unusable                           | 1.0    | is refused as unknown             |
      | was granted to a node that died       | 1.0    | is granted a place after 0.05 s   |
      | had another owner until now           | 1.0    | is granted a place after 0.05 s   |
      | becomes unusable                      | 1.0    | waits, and is refused as unknown  |

  Scenario: two owners at once commit an endpoint at most twice
    Given two owners' queues at an endpoint that has room
    When each gets 40 requests at once
    Then they grant at most twice what it may have to read

  Scenario Outline: what becomes of a request by the answers of owners
    Given a node and two endpoints, both full, whose owners <answers>
    When a request comes, and <what>
    Then for its node it <state>

    Examples:
      | answers                     | what                           | state                                      |
      | do not answer               | 0.2 s pass                     | waits                                      |
      | do not answer               | 0.4 s pass, with room          | was sent                                   |
      | do not answer               | 0.6 s pass                     | was refused with no_room                   |
      | let it wait                 | 0.2 s pass                     | waits                                      |
      | let it wait                 | 0.4 s pass, with room          | was sent                                   |
      | let it wait and confirm it  | 2.0 s pass                     | waits                                      |
      | grant it a place            | nothing else                   | was sent                                   |
      | refuse it                   | nothing else                   | was refused with no_room, after two owners |
      | refuse it                   | the other endpoint has room    | was sent                                   |
      | know no such endpoint       | the other endpoint has room    | was sent                                   |
      | grant it a place, too late  | 0.4 s pass, with room          | was sent, and one place returned           |
      | let it wait                 | its caller leaves              | was withdrawn from the owner               |
      | let it wait                 | the planned stop ends          | was refused with stopping                  |
      | grant it a place            | its key is revoked             | was refused with key_revoked               |
      | let it wait and confirm it  | the model leaves its endpoint  | waits in its node, withdrawn from its owner |
      | refuse it                   | the other endpoint has a rate  | asks for a permit there                    |
      | grant a place that is gone  | nothing else                   | waits in its node, and one place returned  |

  # Guards against a reply to an earlier question of a request that decides on a later one.
  Scenario Outline: a late reply to a request's first question does not decide on its next place
    Given a node and two endpoints, both full, whose owners grant it a place
    When its request was refused by its endpoint and asks for a place there again, and a reply to its first question comes, <late>
    Then it waits for the second reply, and is sent with that

    Examples:
      | late    |
      | granted |
      | denied  |
      | to wait |

  Scenario: a node that knows of a queue lets its next request ask instead of overtaking
    Given a node and two endpoints, both full, whose owners let it wait
    When a request comes, and nothing else
    Then its next request asks within 0.3 s although there is room, and is sent at once after that

  Scenario: a node whose owner is silent sends its next requests without asking
    Given a node and two endpoints, both full, whose owners do not answer
    When a request comes, and 0.4 s pass, with room
    Then its next request is sent at once

  Scenario: a confirmation leaves the wait that an owner predicted as it is
    Given a node and two endpoints, both full, whose owners let it wait for 2 s
    When a request comes, and is confirmed
    Then its next request asks the other endpoint's owner

  Scenario: a place is returned once, however its request ends
    Given a node and two endpoints, both full, whose owners grant it a place
    Then its place is returned once in each way in which its request may end

  Scenario: without the option nothing changes
    Given a stream of 3000 events from seed 7
    Then its effects are the same without the option as without the code

  Scenario: an owner's messages: a request waits, and is granted its place as prompts are read
    Given an owner of an endpoint's places with a link to another node
    When that node asks for a place, and then sends that its prompts there were read
    Then it is sent that the request waits, and then its place
    And the owner's log and counters name the request, its rank and its organisation
