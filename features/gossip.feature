Feature: Reports between nodes are short where nothing but the load has changed

  Scenario Outline: a shared report is read as it was meant, or not at all
    Given a node that polls an endpoint and one that listens
    When <events>
    Then the listener's last report is <seen>

    Examples:
      | events                                                        | seen             |
      | a report is shared                                            | the first        |
      | a report is shared, its load changes and is shared            | the changed load |
      | a report is shared, a model is added and is shared            | with the model   |
      | a report is shared, the listener has another base, its load changes and is shared | the other base |
      | its load changes and is shared without a base                 | none             |
