Feature: Reports between nodes are short where nothing but the load has changed

  Scenario Outline: a short row is applied to the report that it is based on, and dropped otherwise
    Given a node that polls an endpoint, and one that receives its reports
    When <events>
    Then the receiver's last report is <expected>

    Examples:
      | events                                                        | expected         |
      | a report is shared                                            | the first        |
      | a report is shared, its load changes and is shared            | the changed load |
      | a report is shared, a model is added and is shared            | with the model   |
      | a report is shared, the receiver has another base, its load changes and is shared | the other base |
      | its load changes and is shared without a base                 | none             |

  Scenario: a report that states no end of its endpoint is the row that nodes of an earlier version read
    Given a node that polls an endpoint, and one that receives its reports
    Then a node that knows no such statement reads its row, and has its digest
