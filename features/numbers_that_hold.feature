@relay
Feature: No number that another wrote keeps all later ones from counting

  # Guards against a number that has its type and that no sound one can exceed: what is compared
  # with it would be passed over for as long as the node runs, and the nodes that it tells as well.

  Scenario Outline: a number of a message is read up to its bound, and not beyond it
    Then of the message <message> the value <most> as <field> is read, and <beyond> is dropped

    Examples:
      | message     | field         | most               | beyond               |
      | beat        | store_era     | 999999999          | 1000000000           |
      | beat        | store_era     | 0                  | -1                   |
      | listed      | rows.version  | 999999999999999999 | 1000000000000000000  |
      | listed      | rows.version  | 0                  | -1                   |
      | listed      | rows.era      | 999999999          | 18446744073709551615 |
      | evacuations | era           | 999999999          | 1000000000           |
      | evacuations | revision      | 999999999999999999 | 9223372036854775808  |
      | leaving     | rows.started_ms | 9007199254740991 | 9007199254740992     |
      | leaving     | rows.age_s    | 0.0                | -0.001               |
      | reports     | rows.age_s    | 0.0                | -1e15                |
      | rates       | rows.started_ms | 9007199254740991 | 18446744073709551615 |
      | rates       | rows.version  | 9007199254740991   | 9007199254740992     |
      | rates       | rows.rate     | 0.1                | 0.0                  |
      | evidence    | crash_records.started_ms | 9007199254740991 | 9007199254740992 |
      | evidence    | crash_records.age_s | 0.0          | -1.0                 |
      | evidence    | cleared.age_s | 0.0                | -1.0                 |
      | evidence    | verdicts.left_s | 86400.0          | 86400.5              |
      | evidence    | trials.left_s | 86400.0            | 1e15                 |
      | proof       | age_s         | 0.0                | -0.001               |

  Scenario Outline: a node reads the store as before after a message with such a number
    Given a relay node with one endpoint that does: answer
    When another node sends it the message <message>
    Then a new configuration and a new endpoint count within 3 s, and the endpoint serves

    Examples:
      | message                              |
      | an era of 2**64 - 1                  |
      | an era below 0                       |
      | an entry of revision 2**63           |
      | an entry of era 2**63                |
      | a start of 2**63 that is leaving     |
      | a leaving process of age -1e15       |

  Scenario: an evacuation is in force after a list of a revision that no store has
    Given a relay node with one endpoint, which heeds evacuations
    When another node sends it the message evacuations of revision 2**63
    Then an evacuation that is written is in force within 3 s

  Scenario: a proof of an age below 0 proves nothing
    Given a relay node with one endpoint that does: answer
    When another node sends it the message a proof of age -1e15
    Then the node's configuration is not proved for a time to come

  Scenario: an era that another node alone claims does not cut a node off from its store
    Given a relay node with one endpoint that does: answer
    When another node sends it the message an era of 1
    Then a new configuration and a new endpoint count within 3 s, and the endpoint serves

  Scenario Outline: a lease that follows the greatest epoch is read
    Then a lease of the epoch <epoch> at revision <revision> <is read>

    Examples:
      | epoch               | revision           | is read     |
      | 1000000000000007    | 7                  | is read     |
      | 1000000000000008    | 7                  | is not read |
      | 1000000000000008    | 8                  | is read     |
      | 1000000000000000000 | 999999999999999999 | is read     |

  Scenario: a node that takes the lease after another writer's greatest epoch writes one that is read
    Given a lease object of epoch 1000000000000000 that is there before a node starts
    When the node has taken the lease
    Then the lease object that it wrote is read, and its holder is the node

  Scenario: an epoch of the lease that another node alone claims keeps the lease from nobody
    Given a relay node with one endpoint that does: answer
    When another node claims the epoch 9223372036854775808 of the lease again and again
    Then the node holds the lease within 9 s while the other claims it
