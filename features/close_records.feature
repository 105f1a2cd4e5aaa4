@core
Feature: What came of ends by a close is remembered for each service, and summed over the nodes

  Scenario Outline: a service is doubted while the share of its ends that were cut is not small
    Given a node that saw <outcomes> of a service's ends that had looked whole
    Then <later> s later the service is <verdict>

    Examples:
      | outcomes           | later | verdict  |
      | nothing            | 0     | believed |
      | 500 whole          | 0     | believed |
      | 1 cut              | 0     | doubted  |
      | 1 cut              | 590   | doubted  |
      | 1 cut              | 610   | believed |
      | 4 cut              | 900   | doubted  |
      | 1 cut, 18 whole    | 0     | doubted  |
      | 1 cut, 20 whole    | 0     | believed |
      | 10 cut, 180 whole  | 0     | doubted  |
      | 10 cut, 200 whole  | 0     | believed |
      | 200 whole, 1 cut   | 0     | believed |

  Scenario: what was whole long ago speaks for less than what was cut just now
    Given a node that saw 40 whole of a service's ends that had looked whole
    When 600 s later it sees 1 cut
    Then 0 s later the service is doubted

  Scenario: what is known of one service says nothing of another
    Given a node that saw 1 cut of a service's ends that had looked whole
    Then another service is believed, and its answers aren't known to end with their connection

  Scenario Outline: it is remembered for a while that a service's answers end with their connection
    Given a node that saw an answer of a service end with its connection
    Then <later> s later the service <ends> known to answer so

    Examples:
      | later | ends   |
      | 0     | is     |
      | 590   | is     |
      | 610   | is not |

  Scenario Outline: the sums over the nodes decide
    Given a node that saw <own> of a service's ends that had looked whole
    When two nodes tell it <first> and <second>
    Then <later> s later the service is <verdict>

    Examples:
      | own      | first           | second    | later | verdict  |
      | nothing  | 1 cut           | nothing   | 0     | doubted  |
      | nothing  | 1 cut           | 10 whole  | 0     | doubted  |
      | nothing  | 1 cut           | 20 whole  | 0     | believed |
      | 1 cut    | 10 whole        | 10 whole  | 0     | believed |
      | 1 cut    | nothing         | 18 whole  | 0     | doubted  |
      | 20 whole | 1 cut           | 1 cut     | 0     | doubted  |
      | nothing  | 1 cut           | nothing   | 590   | doubted  |
      | nothing  | 1 cut           | nothing   | 610   | believed |

  Scenario: what a node tells again replaces what it told before
    Given a node that saw nothing of a service's ends that had looked whole
    When two nodes tell it 20 whole and nothing
    And two nodes tell it 10 whole and 1 cut
    Then 0 s later the service is doubted

  Scenario: what a node told fades once it tells nothing more
    Given a node that saw nothing of a service's ends that had looked whole
    When two nodes tell it 1 cut and nothing
    And the first tells nothing of the service any more
    Then 0 s later the service is doubted
    And 610 s later the service is believed

  Scenario: a node whose counts come by another way counts once
    Given a node that saw nothing of a service's ends that had looked whole
    When two nodes tell it 1 cut and 1 whole
    And the first is no source any more
    Then 0 s later the service is believed

  Scenario Outline: a node tells sums that count each node once
    Given a node that saw 1 cut of a service's ends that had looked whole
    When two nodes tell it 2 cut and 4 cut
    Then it tells <whom> <cut> cut

    Examples:
      | whom                                      | cut |
      | all nodes of a mesh                       | 1   |
      | other relays, with the first its follower | 3   |
      | the first, its follower                   | 5   |

  Scenario: a node that has just started learns from others that a service answers so
    Given a node that saw nothing of a service's ends that had looked whole
    When two nodes tell it 1 whole and nothing
    Then 0 s later the service is known to answer so
    And 610 s later the service is not known to answer so

  Scenario: what is kept is bounded
    Given a node that saw ends of 1000 services, and is told of 1000 others
    Then it keeps 64 of each, the latest, and tells 64
    And 610 s later it keeps none
