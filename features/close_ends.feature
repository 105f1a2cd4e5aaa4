@core
Feature: What is seen of an endpoint tells a whole answer that it closes from one that was cut

  # An answer's connection was closed at 10 s. Times are in seconds.
  Scenario Outline: what another connection shows of the moment of the close
    Given another connection to the endpoint that was opened at <opened>, answers from <begun>, is read at <read> and <closed>
    Then it shows: <shows>

    Examples:
      | opened | begun | read  | closed                     | shows         |
      | 5.0    | 9.0   | 10.05 | stays open                 | worked        |
      | 5.0    | 9.0   | 10.01 | stays open                 | nothing       |
      | 5.0    | 9.0   | 9.99  | stays open                 | nothing       |
      | 5.0    | 10.01 | 10.05 | stays open                 | nothing       |
      | 5.0    | 9.0   | 9.99  | is closed at 10.04         | nothing       |
      | 5.0    | 9.0   | 9.99  | is closed at 10.01         | closed        |
      | 5.0    | 9.0   | 9.99  | is closed at 9.99          | closed        |
      | 5.0    | 9.0   | 9.99  | is closed in step at 10.01 | closed        |
      | 5.0    | 9.0   | 9.99  | is closed at 9.97          | nothing       |
      | 5.0    | 9.0   | 9.99  | breaks off at 10.01        | closed, broke |
      | 5.0    | 9.0   | 9.99  | breaks off at 9.97         | nothing       |
      | 5.0    | 9.0   | 10.05 | breaks off at 10.07        | worked        |

  Scenario Outline: what ended soon behind a close, at its next step, has not worked on
    Given another answer whose pauses are <pause> ms, read until <read> ms behind the close, that <state>
    Then it shows: <shows>

    Examples:
      | pause | read | state              | shows   |
      | 30    | 25   | goes on            | worked  |
      | 30    | 15   | goes on            | nothing |
      | 30    | 25   | has ended          | nothing |
      | 30    | 44   | has ended          | nothing |
      | 30    | 46   | has ended          | worked  |
      | 30    | 44   | was closed         | nothing |
      | 30    | 46   | was closed         | worked  |
      | 30    | 25   | was broken off     | worked  |
      | 30    | 15   | was broken off     | nothing |
      | 0     | 25   | has ended          | worked  |
      | 0     | 15   | has ended          | nothing |

  Scenario Outline: two answers that end at one moment, each in step with its events and not at once, speak against none
    Given an answer that is closed <own>, and another at its endpoint that <other> at <at>
    Then it shows: <shows>

    Examples:
      | own         | other             | at     | shows         |
      | in step     | is closed in step | 10.01  | nothing       |
      | in step     | is closed in step | 9.99   | nothing       |
      | in step     | is closed in step | 10.001 | closed        |
      | in step     | is closed         | 10.01  | closed        |
      | out of step | is closed in step | 10.01  | closed        |
      | in step     | breaks off        | 10.01  | closed, broke |

  Scenario Outline: an answer that its bytes show to be whole has not been given up with another
    Given an answer that is closed <own>, and another at its endpoint that <other> at <at>
    Then it shows: <shows>

    Examples:
      | own         | other                     | at     | shows   |
      | in step     | is whole, closed in step  | 10.001 | nothing |
      | out of step | is whole, closed in step  | 10.01  | nothing |
      | in step     | is whole, closed          | 10.001 | closed  |

  Scenario Outline: an answer that was asked for behind the close of another has not ended with it
    Given an answer asked for at <asked>, and another <other>, closed at <closed>
    Then it shows: <shows>

    Examples:
      | asked  | other                            | closed | shows         |
      | 9.995  | asked for at 9, begun            | 9.99   | nothing       |
      | 9.985  | asked for at 9, begun            | 9.99   | closed        |
      | 9      | asked for at 10.005, begun       | 10.01  | nothing       |
      | 9      | asked for at 9.995, begun        | 10.01  | closed        |
      | 9      | asked for at 10.005, not begun   | 10.01  | closed        |
      | 9.995  | asked for at 9, begun, broke off | 9.99   | broke         |

  Scenario Outline: an answer ends in step right behind its last event or when the next was due
    When an answer whose pauses are <pause> ms is closed <waited> ms after its last event
    Then that is <step>

    Examples:
      | pause | waited | step        |
      | 30    | 0      | in step     |
      | 30    | 7      | in step     |
      | 30    | 8      | out of step |
      | 30    | 15     | out of step |
      | 30    | 22     | out of step |
      | 30    | 23     | in step     |
      | 30    | 45     | in step     |
      | 30    | 60     | out of step |
      | 3     | 2      | in step     |
      | 3     | 5      | in step     |
      | 3     | 6      | out of step |
      | 6     | 2      | in step     |
      | 6     | 3      | out of step |
      | 6     | 4      | in step     |
      | 6     | 9      | in step     |
      | 6     | 10     | out of step |
      | 0     | 2      | in step     |
      | 0     | 3      | out of step |

  Scenario Outline: an answer has stalled if nothing came for longer than its pauses and than callers bear
    When an answer whose pauses are <pause> ms is closed <waited> ms after its last event
    Then it <has> stalled

    Examples:
      | pause | waited | has     |
      | 30    | 300    | has not |
      | 30    | 301    | has     |
      | 400   | 600    | has not |
      | 400   | 601    | has     |
      | 0     | 301    | has     |

  Scenario Outline: what a node read late is known by when the kernel noted it
    Given an answer whose last bytes the kernel noted at <data> s and its close at <heard> s
    When the node reads them at <read> s and the close at <closed> s
    Then it was closed <waited> ms after them, which was read <late>, and has <stalled>

    Examples: read in time, to the kernel's ticks
      | data   | heard  | read  | closed | waited | late    | stalled     |
      | 9.996  | 10.004 | 10.0  | 10.001 | 1      | in time | not stalled |
      | 10.004 | 10.496 | 10.0  | 10.5   | 500    | in time | stalled     |

    Examples: read late, both or one of them
      | data   | heard  | read  | closed | waited | late    | stalled     |
      | 8.5    | 10.0   | 10.5  | 10.5   | 1500   | late    | stalled     |
      | 8.5    | 8.504  | 10.5  | 10.5   | 4      | late    | not stalled |
      | 10.0   | 10.0   | 10.0  | 10.7   | 0      | late    | not stalled |
      | 9.0    | 9.5    | 9.0   | 10.0   | 500    | late    | stalled     |
      | 9.95   | 10.0   | 10.0  | 10.0   | 50     | late    | not stalled |

    Examples: not noted, or not so that it can be
      | data   | heard  | read  | closed | waited | late    | stalled     |
      | -      | -      | 10.0  | 10.7   | 700    | in time | stalled     |
      | 10.7   | 10.7   | 10.0  | 10.7   | 700    | in time | stalled     |
      | 10.0   | 9.0    | 10.0  | 10.01  | 10     | in time | not stalled |

  Scenario Outline: a wait in which the kernel may have probed is taken as read where a caller reads slowly
    Given an answer whose last bytes the kernel noted at 8 s and its close at <heard> s
    When the node reads them at 10 s and the close at 10 s, for a caller that reads slowly
    Then it was closed <waited> ms after them, which was read <late>, and has <stalled>

    Examples:
      | heard | waited | late    | stalled     |
      | 8.5   | 500    | late    | stalled     |
      | 8.999 | 999    | late    | stalled     |
      | 9     | 0      | in time | not stalled |
      | 9.8   | 0      | in time | not stalled |

  Scenario Outline: closes that were read after a standstill are in step with nothing
    When an answer whose pauses are 30 ms is closed with its last event, and that is read <late> ms late
    Then that is <step>

    Examples:
      | late | step        |
      | 0    | in step     |
      | 300  | in step     |
      | 301  | out of step |

  Scenario Outline: a pause in which the node didn't read tells nothing of the answer
    Given an answer whose last bytes the kernel noted at <data> s and its close at - s
    Then a pause of <pause> ms before these were read at 10 s is <known>

    Examples:
      | data | pause | known     |
      | 10.0 | 500   | known     |
      | 9.98 | 500   | known     |
      | 9.9  | 500   | not known |
      | 9.9  | 199   | known     |
      | 9.9  | 201   | not known |
      | -    | 500   | known     |

  Scenario Outline: what is seen decides whether a close looks like the answer's own end
    When an endpoint closes an answer's connection and what is seen is: <seen>
    Then its end is <verdict>

    Examples:
      | seen                              | verdict |
      | lives                             | likely  |
      | nothing                           | doubted |
      | worked                            | likely  |
      | worked, closed                    | doubted |
      | lives, worked                     | likely  |
      | lives, closed                     | doubted |
      | lives, closed, worked             | likely  |
      | lives, broke, closed, worked      | doubted |
      | lives, replaced                   | doubted |
      | lives, caught                     | doubted |
      | lives, caught, worked             | doubted |
      | worked, caught                    | doubted |
      | lives, doubted                    | doubted |
      | lives, stalled                    | doubted |
      | lives, worked, stalled            | doubted |
      | lives, stalled, stopping          | likely  |
      | lives, closed, stopping           | likely  |
      | lives, broke_elsewhere            | doubted |
      | lives, broke_elsewhere, worked    | likely  |
      | lives, broke_elsewhere, stopping  | likely  |
      | lives, caught, doubted, stopping  | likely  |
      | lives, broke, stopping            | doubted |
      | stopping                          | doubted |
      | lives, replaced, stopping         | doubted |

  Scenario Outline: a rest is asked for only on resends that failures can spare
    Given a service with 10 resends in its window, of which <spent> are spent
    Then the rest of an end that looks whole <likely> asked for, and of one that is doubted <doubted>

    Examples:
      | spent | likely | doubted |
      | 0     | is     | is      |
      | 4     | is     | is      |
      | 5     | is not | is      |
      | 9     | is not | is      |
      | 10    | is not | is not  |
