@core
Feature: Endpoints whose answers end with their connection, so that nothing shows their end

  Scenario Outline: an endpoint whose answers show no end is passed over while another one has room
    Given a relaying node with two endpoints that hold one model
    When <ends> answers of one of them show no end, and 6 follow <after_s> s later
    Then that endpoint gets <gets> of them

    Examples:
      | ends | after_s | gets |
      | 2    | 0.1     | some |
      | 3    | 0.1     | none |
      | 3    | 5.1     | some |

  Scenario: a whole answer ends the row of those that show no end
    Given a relaying node with two endpoints that hold one model
    When 2 answers of one of them show no end, one is whole, and 2 show none again
    Then that endpoint is not passed over

  Scenario: endpoints of which all show no end are used on
    Given a relaying node with two endpoints that hold one model
    When 3 answers of each of them show no end, and 6 follow 0.1 s later
    Then each of them gets some of them
