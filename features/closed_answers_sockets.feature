@relay
Feature: Answers without length or chunks whose endpoint closes them in their midst and lives on

  Scenario Outline: a stream that is closed in its midst by an endpoint that lives on is not told as whole
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                            | answer        | runs |
      | stream    | 3 unframed                        | 3 events, cut | 1    |
      | stream    | list no run after 3 unframed      | 3 events, cut | 1    |
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
      | unsafe | half unframed         | unknown | 1    |
      | safe   | half unframed, answer | whole   | 2    |
