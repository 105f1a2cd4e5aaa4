@relay
Feature: Answers without length or chunks whose endpoint closes them in their midst and lives on

  Scenario Outline: a stream that is closed in its midst by an endpoint that lives on is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                            | answer        | runs |
      | stream    | unframed without events           | unknown       | 1    |
      | resumable | 3 unframed, stream                | 5 events      | 2    |
      | resumable | list no run after 3 unframed, stream | 5 events   | 2    |
      | resumable | unframed without events, stream   | 5 events      | 2    |

  Scenario Outline: a body that is closed in its midst by a service that lives on is not told as whole
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind   | script                | answer  | runs |
      | safe   | half unframed, answer | whole   | 2    |

  # Nothing that is seen of the endpoint tells such a close from that of a whole answer.
  Scenario Outline: a run that is closed alone in its midst, by an endpoint that knows no copies, is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a stream request
    Then the answer is 3 events, cut

    Examples:
      | script                                        |
      | 3 unframed                                    |
      | list no run after 3 unframed                  |
      | run on after 3 unframed                       |
      | drop 2 after 3 unframed                       |
      | run on for 0.23 s after 3 unframed            |
      | run on after a while of no list of 3 unframed |

  Scenario Outline: a run that is closed in its midst as its process ends beside a successor is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a stream request
    Then the answer is 3 events, cut

    Examples:
      | script                       |
      | be replaced after 3 unframed |
      | restart after 3 unframed     |
      | fall silent after 3 unframed |

  Scenario Outline: a body that is closed alone in its midst, or beside a successor, is not told as whole
    Given a relay node with two endpoints that do: <script>
    When a caller sends an unsafe request
    Then the answer is unknown
    And the endpoints ran it 1 times

    Examples:
      | script                          |
      | half unframed                   |
      | open half text                  |
      | half close after half unframed  |
      | be replaced after half unframed |
      | restart after half unframed     |
      | fall silent after half unframed |

  Scenario: two runs that one endpoint cuts at the same byte are not told as whole
    Given a relay node with one endpoint that does: open half text, open half text
    When a caller sends a safe request
    Then the status and body are 502
    And the endpoints ran it 2 times
