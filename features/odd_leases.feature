@relay
Feature: A lease object that can't be read gives nobody the lease, and is replaced once it is safe

  Scenario Outline: an odd field of the lease object is named
    Given a lease object whose <field> is the JSON value <value>
    Then it can't be read, and the error names <named>

    Examples:
      | field     | value           | named     |
      | itself    | null            | object    |
      | itself    | [1]             | object    |
      | itself    | 7               | object    |
      | holder    | null            | holder    |
      | holder    | ["n1"]          | holder    |
      | holder    | "half a pair"   | holder    |
      | holder    | "long"          | holder    |
      | epoch     | null            | epoch     |
      | epoch     | "7"             | epoch     |
      | epoch     | true            | epoch     |
      | epoch     | 1.5             | epoch     |
      | epoch     | -1              | epoch     |
      | epoch     | 9007199254740991 | epoch    |
      | epoch     | 1e400           | epoch     |
      | nonce     | null            | nonce     |
      | nonce     | [1]             | nonce     |
      | settled   | "yes"           | settled   |
      | turn_in_s | "soon"          | turn_in_s |
      | turn_in_s | -1              | turn_in_s |
      | turn_in_s | 1e300           | turn_in_s |
      | turn_in_s | NaN             | turn_in_s |
      | address   | 7               | address   |

  Scenario: odd rows of usage and verdicts in a lease spare its other rows
    Given a lease object with odd rows of usage and verdicts
    Then it can be read, and its holder and epoch are as written
    And its sound rows are read, and a share that is odd counts as the whole limit

  Scenario: odd lease objects of earlier eras are passed over
    Then of lease objects with epochs 4, odd, 9, 400 digits and 7 the one of epoch 9 is the newest

  Scenario: no two nodes hold the lease after it was overwritten by an odd value
    Given node a that holds the lease, and reads nothing from then on
    When the lease object is overwritten by an odd value, which node b reads
    Then b holds the lease after a has stopped, and orders only after a gap
    And the epoch of b is greater than that of a

  Scenario: a lease object that is overwritten again and again is not taken
    Given node a that holds the lease, and reads nothing from then on
    When the lease object is overwritten by an odd value each second, which node b reads
    Then b does not hold the lease

  Scenario Outline: a node that finds an odd lease object holds the lease after a lease term
    Given two endpoints, and the odd rookspring-lease control, <value>, that is written before the node starts
    Then the node does not hold the lease within 3 s
    And the node holds the lease within 9 s, in an epoch above the object's revision
    And the odd lease is logged once, and the line names <field>
    And no task has failed, and no call to the store

    Examples:
      | value            | field  |
      | 100,000 levels   | spec   |
      | an epoch of text | epoch  |

  Scenario Outline: a holder whose lease object is overwritten stops, and holds it again after a term
    Given two endpoints, and a node that holds the lease
    When the lease object is overwritten by <value>
    Then the node stops holding the lease within 2 s
    And the node does not hold the lease within 2.5 s
    And the node holds the lease within 9 s, in an epoch above the object's revision
    And requests are answered

    Examples:
      | value             |
      | 100,000 levels    |
      | an epoch of 400 digits |
