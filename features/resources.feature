Feature: Resources are checked and every faulty field is named

  Scenario Outline: a faulty document is refused
    Given a Model named pitwall with spec {"version": "v1", "memory_gb": 10}
    When its <field> is set to <value>
    Then the check names <named>

    Examples:
      | field             | value      | named                |
      | name              | "Bad Name" | name:                |
      | name              | 7          | name:                |
      | version           | -1         | version:             |
      | colour            | "red"      | colour: unknown field|
      | kind              | "Modell"   | kind:                |
      | spec              | 3          | spec:                |
      | spec.memory_gb    | 0          | spec.memory_gb       |
      | spec.memory_gb    | "much"     | spec.memory_gb       |
      | spec.memory_gb    | 1e999      | spec.memory_gb       |
      | spec.version      | ""         | spec.version         |
      | spec.priority     | "urgent"   | spec.priority        |
      | spec.colour       | "red"      | spec.colour          |
      | spec.replicas_min | 0          | spec.replicas_min    |
      | spec.replicas_max | 0          | spec.replicas_max    |
      | spec.deadline_s   | 601        | spec.deadline_s      |

  Scenario Outline: a policy that no module has registered is refused
    Given a Policy named default with spec {}
    When its <field> is set to <value>
    Then the check names <field>

    Examples:
      | field            | value     |
      | spec.routing     | "nearest" |
      | spec.placement   | "random"  |
      | spec.move_weight | -1        |

  Scenario Outline: a rejected resource keeps its last accepted version and gets the reason
    Given runners with 80 and 80 GB
    And accepted models <accepted>
    When <change> is declared
    Then <change_name> is <verdict> with <reason>

    Examples:
      | accepted            | change           | change_name | verdict  | reason       |
      | a=30 b=30           | Model c=30       | c           | accepted | nothing      |
      | a=60 b=60           | Model c=30       | c           | refused  | memory_gb    |
      | a=60 b=60           | Model a=60       | a           | refused  | memory_gb    |
      | a=30 b=30           | Model a=40       | a           | accepted | nothing      |
      | a=30                | Adapter x=a      | x           | accepted | nothing      |
      | a=30                | Adapter x=zz     | x           | refused  | spec.model   |
      | a=30                | Model c=500      | c           | refused  | memory_gb    |
