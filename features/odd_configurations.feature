@relay
Feature: An odd configuration, or an odd object beside it, leaves the last one in force

  Scenario Outline: an odd object beside the configuration does not affect it
    Given two endpoints, and the odd config other, <value>, that is written <when>
    When the configuration of version 9 is written
    Then version 9 is in force within 3 s
    And no task has failed, and no call to the store

    Examples:
      | value          | when                   |
      | 100,000 levels | before the node starts |
      | 5,000 digits   | before the node starts |
      | a list         | before the node starts |
      | 100,000 levels | while the node watches |
      | no JSON        | while the node watches |

  Scenario Outline: a malformed configuration is logged once, and the last one stays in force
    Given two endpoints, and the odd config main, <value>, that is written while the node watches
    Then the configuration is logged once as malformed, and the line names <field>
    And version 5 stays in force, and no task has failed
    When the configuration of version 9 is written
    Then version 9 is in force within 3 s

    Examples:
      | value               | field                 |
      | 100,000 levels      | spec                  |
      | a list              | an object             |
      | 5,000 digits        | version               |
      | a version of 1e400  | version               |
      | a negative version  | version               |
      | routes of numbers   | routes.0              |
      | a time of 1e400     | routes.0.timeout-ms   |
      | a negative time     | routes.0.timeout-ms   |
      | a time of text      | routes.0.timeout-ms   |
      | attempts of 1e300   | routes.0.max-attempts |
      | no limits           | limits                |
      | limits of a list    | limits                |
      | services of text    | services              |
      | a service of null   | services.0            |
