@core
Feature: Which ends of answers in chunks are doubted, and when their endpoint is looked at

  # An end comes 10 s before its request's deadline, if nothing else is said. Times are in seconds.

  Scenario Outline: an end is doubted by what may have ended the answer
    Given an end in chunks at an endpoint that <endpoint>
    And the ended answer is <what>, <time>
    Then its cause is "<cause>", and it is looked at <look> s later

    Examples:
      | endpoint                       | what                                | time                    | cause                                               | look |
      | stays                          | a stream                            | in time                 | its endpoint ended just after it                    | 0.1  |
      | stays                          | a stream that may go on elsewhere   | in time                 | its endpoint ended just after it                    | 0.1  |
      | stays                          | a body that came at once            | in time                 |                                                     | 0.1  |
      | leaves                         | a stream                            | in time                 | its endpoint ended, as it was leaving or gone       | 0.1  |
      | leaves                         | a stream that may go on elsewhere   | in time                 | its endpoint ended, as it was leaving or gone       | 0.3  |
      | leaves                         | a body that came at once            | in time                 | its endpoint ended, as it was leaving or gone       | 0.1  |
      | stays                          | a stream                            | 0.07 s before its deadline | its endpoint ended just after it                 | 0.02 |
      | leaves                         | a stream that may go on elsewhere   | 0.25 s before its deadline | its endpoint ended, as it was leaving or gone    | 0.2  |
      | stays                          | a stream                            | 0.04 s before its deadline |                                                  | no   |
      | leaves                         | a stream                            | 0.04 s before its deadline | its endpoint ended, as it was leaving or gone    | no   |
      | ends 0.4 s later, as it stated | a stream                            | in time                 | its endpoint ended, at the time that it had stated  | 0.1  |
      | ends 0.4 s later, as it stated | a body that came at once            | in time                 | its endpoint ended, at the time that it had stated  | 0.1  |
      | ends 0.4 s later, as it stated | a stream                            | 0.04 s before its deadline | its endpoint ended, at the time that it had stated | no |
      | ends 0.6 s later, as it stated | a stream                            | in time                 | its endpoint ended, as it was leaving or gone       | 0.1  |

  Scenario Outline: an endpoint is at work if events of other runs come well after the end
    Given an answer's end, and an event of another run there <after> s after it
    Then the endpoint <is> at work

    Examples:
      | after | is     |
      | -1.0  | is not |
      | 0.0   | is not |
      | 0.015 | is not |
      | 0.025 | is     |
      | 0.09  | is     |
