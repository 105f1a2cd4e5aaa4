Feature: How long a node waits for the store's answer to a watch

  # Rows by hand: a watch whose connection was silent from the start has to be repeated, and the answer to
  # that be there, within the later of the two bounds.

  Scenario Outline: a watch and its repetition fit into the bounds that the settings give
    Given a change has to be applied <apply> s after its confirmation and <contact> s after a failure
    When a watch of <longest> s at most begins on a connection that was idle for <idle> s
    Then it waits for <wait> s, and is repeated after <repeat> s without an answer

    Examples:
      | apply | contact | longest | idle | wait | repeat |
      | 2     | 3       | 4       | 0    | 2.0  | 2.3    |
      | 2     | 3       | 4       | 0.4  | 1.6  | 1.9    |
      | 5     | 3       | 4       | 0    | 4.0  | 4.3    |
      | 4     | 3       | 4       | 0    | 3.0  | 3.3    |
      | 2     | 3       | 0.5     | 0.4  | 0.5  | 0.8    |
      | 0.5   | 1       | 4       | 0    | 0.2  | 0.5    |

  Scenario Outline: the answer to a watch shows what had changed by the end of its wait, if nothing had
    Given a change has to be applied 2 s after its confirmation and 3 s after a failure
    When a watch of 4 s at most begins on a connection that was idle for 0 s
    Then an answer after <after> s with <what> shows all changes of the first <known> s

    Examples:
      | after | what     | known |
      | 2.1   | nothing  | 2     |
      | 12    | nothing  | 2     |
      | 1.5   | nothing  | 0     |
      | 1.5   | a change | 0     |
      | 12    | a change | 0     |

  Scenario Outline: the bounds come from the platform's settings
    Given a settings file of the platform
    When its field bounds.config-apply-ms is <apply_ms>
    And its field bounds.drain-ms is 1200
    And its field bounds.contact-ms is 1500
    Then a change has to be applied <apply> s after its confirmation and 1.5 s after a failure

    Examples:
      | apply_ms | apply |
      | 900      | 0.9   |
      | 5000     | 1.2   |
