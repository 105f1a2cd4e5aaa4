@core
Feature: Backups of the runs whose end nothing else tells, as the reducer decides

  Scenario Outline: a stream of one attempt names a backup where its cut end could look whole
    Given a node whose service closes its answers, with a, b and c that know the calls, where <what>
    When a request begins at a
    Then its backup is to be at <holder>

    Examples:
      | what                               | holder |
      | all else is usual                  | b      |
      | no answer was closed               | none   |
      | an answer was closed long ago      | none   |
      | its stream may be resumed          | none   |
      | it is for a body                   | none   |
      | its deadline is near               | none   |
      | a doesn't know the calls           | none   |
      | a was replaced by another process  | none   |
      | b doesn't know the calls           | c      |
      | b and c don't know the calls       | none   |
      | a is of a plain service            | none   |
      | b has no room                      | c      |
      | b is of a later version            | c      |
      | b takes requests at a rate         | c      |
      | b is far away                      | c      |

  Scenario Outline: an endpoint shows that it knows the calls by a copy of one run
    Given a node whose service closes its answers, with a, b and c that know the calls, where <what>
    When a request begins at a
    And in order <events>
    Then the last brings about: <effects>

    Examples:
      | what                     | events                                         | effects                          |
      | a doesn't know the calls | it has an event                                | a copy is asked for at b         |
      | all else is usual        | it has an event                                | nothing                          |
      | it is for a body         | it has an event                                | nothing                          |
      | no answer was closed     | it has an event                                | nothing                          |
      | a doesn't know the calls | it has an event, b has its copy                | the copy at b is freed           |
      | a doesn't know the calls | it has an event, a leaves, b has its copy      | nothing                          |
      | a doesn't know the calls | it has an event, it succeeds, b has its copy   | the copy at b is freed           |
      | a doesn't know the calls | it has an event, b has its copy, another begins | it begins at a with a backup at b |
      | a doesn't know the calls | it has an event, a knows no run, another begins | it begins at a                   |
      | a doesn't know the calls | it has an event, a knows no run, another begins, it has an event | nothing         |
      | a doesn't know the calls | it has an event, a knows no run, 11 s pass, another begins, it has an event | a copy is asked for at b |

  Scenario Outline: a run goes on from its backup, or is refused there
    Given a node whose service closes its answers, with a, b and c that know the calls, where <what>
    When a request begins at a
    And in order <events>
    Then the last brings about: <effects>
    And <spent> resends are spent

    Examples:
      | what                  | events                                                    | effects                       | spent |
      | all else is usual     | it has an event, its end is asked about                   | it goes on from a copy at b with a backup at a | 1     |
      | all else is usual     | it has an event, its end is asked about, b refuses it     | it ends as unknown            | 1     |
      | all else is usual     | it has an event, its end is asked about, b is unreachable | it ends as unknown            | 1     |
      | all else is usual     | it has an event, its end is asked about, its end is asked about | it goes on from a copy at a with a backup at b | 2 |
      | all else is usual     | it has an event, its end is asked about, it succeeds      | nothing                       | 1     |
      | all else is usual     | it has an event, b leaves, its end is asked about         | it ends as unknown            | 0     |
      | all else is usual     | it has an event, b was replaced, its end is asked about   | it ends as unknown            | 0     |
      | no resend is left     | it has an event, its end is asked about                   | it ends as unknown            | 0     |
      | all else is usual     | it has an event, a leaves, b has its copy, its copy is asked for | it goes on from a copy at b with a backup at c | 0  |
      | no answer was closed  | it has an event, its end is asked about                   | it ends as unknown            | 0     |

  Scenario Outline: a backup is asked for as far as there is budget for such an end
    Given a service with 10 resends in its window, of which <spent> are spent
    Then a backup <clear> asked for where work went on behind the end, <likely> where nothing speaks against it, and <doubted> where it is doubted

    Examples:
      | spent | clear  | likely | doubted |
      | 4     | is     | is     | is      |
      | 5     | is not | is     | is      |
      | 6     | is not | is     | is      |
      | 7     | is not | is not | is      |
      | 9     | is not | is not | is      |
      | 10    | is not | is not | is not  |

  Scenario Outline: what a backup shows of an end that looked whole is kept
    Given a node whose service closes its answers, with a, b and c that know the calls, where all else is usual
    When a request begins at a
    And in order it has an event, its end looks whole and is asked about, <then>
    Then this is noted of its end: <found>

    Examples:
      | then            | found |
      | b refuses it    | whole |
      | it has an event | cut   |
      | b is unreachable | none |

  Scenario: an unrepeatable run goes on only where its backup was named
    Given a node whose service closes its answers, with a, b and c that know the calls, where all else is usual
    When a request begins at a
    Then going on at c, or at b once more, breaks the invariant at-most-once
