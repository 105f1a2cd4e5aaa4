@relay
Feature: Stand-in endpoints copy their runs to each other, as the users' pages tell it

  Scenario Outline: a run is copied as it goes on, and goes on at the holder once
    Given two stand-in endpoints, the first with a run of <events> events
    When the run is copied to the second, <how>
    Then the copying call gives <status> and <created> events
    And at the first endpoint the run <state>
    And the second endpoint takes the copy up <times> times

    Examples:
      | events | how                          | status | created | state   | times |
      | 3      | as it goes on                | 200    | 3       | goes on | 1     |
      | 3      | and stopped                  | 200    | 3       | ends    | 1     |
      | 3      | and its copy is freed        | 200    | 3       | goes on | 0     |
      | 3      | which has no room            | 503    | no      | goes on | 0     |
      | 3      | which doesn't know the calls | 503    | no      | goes on | 0     |
      | no     | as it goes on                | 404    | no      | ends    | 0     |

  Scenario: a run that is stopped goes on at its own endpoint where the other one has no room
    Given two stand-in endpoints, the first with a run of 3 events
    When the run, stopped, is copied to the second, which has no room
    Then the copying call gives 503 and a handle that the first takes up once

  Scenario Outline: a backup is kept until its run has ended well
    Given two stand-in endpoints, the first with a run of 3 events
    When the run is backed up at the second, and <ends>
    Then the second endpoint takes the backup up <times> times

    Examples:
      | ends       | times |
      | ends well  | 0     |
      | is cut off | 1     |
