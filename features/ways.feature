@relay
Feature: Real processes in drawn ways: each stream whole, in order, once, and its caller's own

  Scenario Outline: each check finds a record with its fault
    Given a <kind> call that is whole, and its run
    When in the record <change>
    Then the checks that find something are "<found>"

    Examples: faults
      | kind   | change                                            | found                |
      | save   | nothing changes                                   |                      |
      | stock  | nothing changes                                   |                      |
      | unsafe | nothing changes                                   |                      |
      | save   | the last event is missing                         | early                |
      | save   | the third event is missing                        | out of order         |
      | save   | two events are exchanged                          | out of order         |
      | save   | the first event is missing                        | out of order         |
      | save   | an event comes twice                              | out of order, twice  |
      | save   | an event is of another request                    | foreign              |
      | save   | an event is of another version                    | foreign              |
      | save   | an event was never made                           | foreign              |
      | save   | an event is of another runner that made it        | unrepeatable twice, new run |
      | save   | the request ran twice                             | unrepeatable twice   |
      | unsafe | the request ran twice                             | unrepeatable twice   |
      | stock  | the request ran twice                             |                      |
      | safe   | the request ran twice                             |                      |
      | save   | the run was asked for from the third event        | new run              |
      | stock  | a take-up goes on                                 |                      |
      | stock  | a take-up leaves an event out                     | left out             |
      | stock  | a take-up repeats an event                        | twice                |
      | stock  | a take-up is of another version                   | two versions         |
      | stock  | a take-up goes on where its route had moved before it began | two versions |
      | stock  | a take-up ran there twice, its route moved between its runs   | two versions |
      | stock  | a take-up goes on in its service, whose route moved meanwhile | two versions |
      | stock  | an answer goes on where its route had moved before it began | foreign |
      | save   | another run goes on at another runner, with no copy | unrepeatable twice, new run |
      | save   | a copy goes on at another runner after an event that it had not made | new run, finished |
      | save   | a copy goes on, and the request ran twice         | unrepeatable twice, finished |
      | save   | its runner ends it in its midst, as a sign tells  | early, ended in midst |
      | save   | bytes come that no runner makes                   | bent                 |
      | save   | its answer states another request                 | foreign              |
      | save   | it is refused as malformed                        | malformed            |
      | save   | its runner ends it well by a close, and its caller is cut | sound cut    |
      | stock  | its runner ends it well by a close, and its caller is cut | sound cut    |
      | unsafe | its runner ends it well by a close, and its caller gets 502 | sound cut  |

    Examples: what is told beside them
      | kind   | change                                            | found                |
      | save   | no end comes after the last event                 | cut after last       |
      | save   | its caller sent it twice and got two answers      | two answers          |
      | save   | its runner ends it in its midst, as nothing tells | ended in midst, early untold |
      | save   | its runner ends it well, and its caller is cut    | cut sound            |
      | save   | its runner ends it with its time, and its caller is cut |                |
      | stock  | its runner ends it well, and its caller is cut    |                      |
      | save   | its runner ends it well by a close as its node is killed, and its caller is cut | sound cut in trouble |
      | save   | its runner ends it well by a close as its links are held, and its caller is cut | sound cut in trouble |
      | save   | its runner ends it well by a close as it breaks others off, and its caller is cut | sound cut in trouble |
      | save   | its runner ends it well by a close as its time is over, and its caller is cut | sound cut in trouble |
      | save   | its runner ends it too early by a close, and its caller is cut |         |
      | save   | its runner ends it well by a close when its caller has been cut |        |
      | save   | no answer comes on an open connection             | unanswered           |
      | stock  | a take-up goes on where its route moved meanwhile | moved                |
      | save   | a copy of its run goes on at another runner       | finished             |
      | stock  | a copy of its run goes on at another runner       | finished             |
      | stock  | a copy goes on in a take-up                       | finished             |
      | stock  | an answer goes on where its route moved meanwhile | moved                |

  Scenario Outline: the bytes of a runner that lies are told from those of one that doesn't
    Given the stream of a runner that sends <forms>
    When it <lies>
    Then the events that are read are <numbers>, and <bent> bytes are bent

    Examples:
      | forms              | lies                            | numbers | bent |
      | plain events       | tells the truth                 | 1,2,3   | no   |
      | crlf, notes, steps | tells the truth                 | 1,2,3   | no   |
      | big                | tells the truth                 | 1,2,3   | no   |
      | plain events       | sends an id that is not the event's | 1   | some |
      | big                | sends a payload cut short       | 1       | some |
      | plain events       | sends half an event into another | 1      | some |
      | plain events       | breaks off within the last      | 1,2     | no   |

  Scenario: a real take-up after its route was moved to another service
    Given two nodes, a runner of version 1, and a runner of version 2 in another service
    When a stream is cut, its route is moved there, and it is taken up at the other node
    Then the events are 1 to 8, of versions 1 and 2
    And the checks that find something are "moved"

  Scenario Outline: a run goes on at another runner from its copy, and is recorded so
    Given two runners, and a stream at the first
    When it is <copied> after 3 events, and goes on from the copy at the second
    Then its events are 1 to 8 of both, and the checks that find something are "finished"

    Examples:
      | copied                                |
      | stopped by a move                     |
      | cut while it has been backed up       |

  Scenario: a narrow link passes so many bytes a second
    Given a proxy's connection that is narrowed to 20000 bytes a second
    When 8000 bytes are sent through it
    Then they come whole after 0.3 to 2 s

  Scenario: a node's wall clock is stepped
    Given a node's clock file that says 3600
    When a module runs as such a node
    Then its wall clock is 3600 s ahead

  Scenario Outline: a short play of a seed
    When seed <seed> is played with <callers> callers for <seconds> s
    Then no check finds anything
    And some streams were whole
    And some pipelined answers were whole

    Examples: longer plays are started by hand
      | seed | callers | seconds |
      | 19   | 12      | 5       |
