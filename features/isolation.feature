Feature: Decisions of a node that reaches no endpoint

  Scenario: new requests are handed over and counted at the other node alone
    Given a node of data centre z with 3 endpoints and other nodes b in z, c in y
    And organisation "org" may use 10 units a second
    When it finds that it reaches no endpoint
    And a request of "org" for model m arrives
    Then it is handed over to b with 0 sends
    And no units, demand or resend window are counted here

  Scenario: what is found of endpoints is forgotten once nothing else is reached
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When connections to two endpoints fail, one refused, and it finds that it reaches none
    Then no endpoint counts as down, ejected or failing
    And this is announced at once

  Scenario: waiting requests and unsent ones are handed over, and their slots are returned
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a request waits for a slot, another is being sent, and it finds that it reaches none
    Then the waiting one is handed over at once
    And the other one is handed over once its connection has failed
    And a slot that is granted late is returned

  Scenario: a request whose last connection failed is handed over
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a request can't be sent 4 times, and the 5th time it finds that it reaches none
    Then it is handed over to b with 0 sends

  Scenario Outline: a request that was handed over has one outcome
    Given a node of data centre z with 3 endpoints and other nodes b in z, c in z, d in z, e in z
    When it finds that it reaches no endpoint
    And <kind> request is handed over, which <what>
    Then it ends as <end> after <times> handovers

    Examples:
      | kind        | what                                 | end         | times |
      | a safe      | is answered                          | answered    | 1     |
      | an unsafe   | is answered                          | answered    | 1     |
      | a safe      | can't be sent to three nodes         | 503 not_run | 3     |
      | an unsafe   | can't be sent to three nodes         | 503 not_run | 3     |
      | an unsafe   | can't be sent once and then answers  | answered    | 2     |
      | a safe      | is cut after it was sent             | 502 unknown | 1     |
      | an unsafe   | is cut after it was sent             | 502 unknown | 1     |
      | an unsafe   | is late after it was sent            | 504 unknown | 1     |
      | an unsafe   | is left by its caller                | cancelled   | 1     |
      | an unsafe   | is unanswered as the grace time ends | 502 unknown | 1     |

  Scenario Outline: a stream of which events have come goes on elsewhere if its node is lost
    Given a node of data centre z with 3 endpoints and other nodes b in z, c in z, d in z, e in z
    When it finds that it reaches no endpoint
    And <kind> stream of <sends> sends is handed over, and <times> times <what>
    Then it ends as <end> after <handovers> handovers

    Examples:
      | kind          | sends | times | what                                       | end         | handovers |
      | a resumable   | 2     | 1     | is cut after an event                      | answered    | 2         |
      | a resumable   | 2     | 2     | is cut after an event                      | 502 unknown | 2         |
      | a resumable   | 9     | 4     | is cut after an event                      | 502 unknown | 3         |
      | an unresumable | 9    | 1     | is cut after an event                      | 502 unknown | 1         |
      | a resumable   | 9     | 1     | is cut before an event                     | 502 unknown | 1         |
      | a resumable   | 9     | 1     | is late after an event                     | 504 unknown | 1         |
      | a resumable   | 9     | 1     | is cut after an event, with no resend left | 502 unknown | 1         |

  Scenario Outline: a stream whose node is lost goes on here if this node reaches endpoints again
    Given a node of data centre z with 3 endpoints and other nodes b in z, c in z
    And its endpoints are of <versions>
    When it finds that it reaches no endpoint
    And a resumable stream is handed over and has an event, and this node reaches endpoints again
    And the other node is lost
    Then the handed-over stream <then>

    Examples:
      | versions                                    | then                    |
      | one version                                 | is sent to one of these |
      | two versions                                | is cut                  |
      | two versions, and the second is known to have begun it | is sent to one of the second |

  Scenario: what was handed over is not handed on
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When it finds that it reaches no endpoint
    And a request arrives that another node has handed over
    Then it is not handed over

  Scenario: a resend counts as one at the node that it is handed over to
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a safe request was sent once and broke off, and it finds that it reaches none
    Then it is handed over to b with 1 sends
    And at b it is sent once more at most

  Scenario: a request that was sent before it was handed over is not refused as one that has not run
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a safe request was sent once and broke off, and it finds that it reaches none
    And it can't be sent to b either
    Then it is ended with 502 unknown, after one handover

  Scenario Outline: requests go to nodes that reach endpoints
    Given a node of data centre z with 3 endpoints and other nodes <nodes>
    When it finds that it reaches no endpoint
    And 64 requests arrive
    Then they are handed over to <chosen>

    Examples:
      | nodes                                                    | chosen  |
      | b in z, c in z, d in y                                   | b, c    |
      | b in z, c in z isolated, d in z isolated, e in y, f in y | b, e, f |
      | b in z isolated, c in z leaving, d in y                  | d       |
      | b in z without a table, c in y                           | c       |
      | b in z isolated, c in y isolated                         | none    |

  Scenario: with 1,900 nodes each hands over to a few, and those few share the work
    Given 1900 nodes in 7 data centres, of which 200 of one data centre's reach no endpoint
    When each of those hands 20 requests over
    Then each has handed over to 8 nodes at most
    And no node got over four times the mean of those that got any
    And a choice takes under 1 ms on average

  Scenario Outline: callers get the addresses of nodes that reach endpoints, if these are enough
    Given a node of data centre z with 3 endpoints and other nodes <nodes>
    Then callers get the addresses of <given>

    Examples:
      | nodes                                                             | given   |
      | b in z, c in z isolated                                           | a, b    |
      | b in z isolated, c in z, d in z                                   | a, c, d |
      | b in z isolated, c in z isolated                                  | a, b, c |
      | b in z isolated, c in y isolated, d in y                          | a, d    |

  Scenario Outline: the lease goes to a node whose orders reach endpoints
    Given a node of data centre z with 3 endpoints and other nodes <nodes>
    And this node holds the lease
    When it finds that it reaches no endpoint, and <seconds> s pass
    Then this node <holds> the lease afterwards
    And once it reaches endpoints again it <then> 3 s later

    Examples:
      | nodes           | seconds | holds          | then                         |
      | b in z          | 0.5     | holds          | still holds it               |
      | b in z          | 1.5     | has released   | takes it, as no one else did |
      | b in z isolated | 1.5     | holds          | still holds it               |

  Scenario Outline: silence of all endpoints is looked into, that of one is not
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When <what>
    Then it <does>

    Examples:
      | what                                                          | does            |
      | a request at one endpoint is silent for 1.2 s, another's goes | asks for nothing |
      | all requests in flight are silent for 0.6 s                   | probes 3 boxes   |
      | nothing is in flight for 5 s                                  | asks for nothing |
      | it finds that it reaches no endpoint, and 1 s passes          | probes 3 boxes   |

  Scenario: prompts that never arrive hold up no other node's requests
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a prompt is being sent to each endpoint, and it finds that it reaches none
    Then all nodes are told that no prompt of it is unread

  Scenario: probes go to endpoints on different boxes, another one first each time
    Given a node of data centre z with 60 endpoints on 20 boxes
    Then each probe asks 3 boxes, without that of the failed endpoint
    And in 10 s at least 15 boxes are asked

  Scenario Outline: an endpoint that answers has not ended, whatever another node was refused
    Given a node of data centre z with 3 endpoints and other nodes b in z
    When a stream runs at an endpoint, another node tells that it has ended, and <then>
    Then it <gets> new requests at once, and <next> after another such message

    Examples:
      | then                       | gets         | next         |
      | its next event is 0.2 s on | gets         | gets         |
      | its next event crosses     | doesn't get  | doesn't get  |
      | nothing more comes         | doesn't get  | doesn't get  |
