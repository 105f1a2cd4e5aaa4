@relay
Feature: Answers without length or chunks, which end with their connection, between sockets

  Scenario Outline: such an answer counts as whole only if its endpoint's process lives on
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                          | answer        | runs |
      | stream    | unframed events                 | 5 events      | 1    |
      | resumable | unframed events                 | 5 events      | 1    |
      | resumable | end after 3 unframed, stream    | 5 events      | 2    |
      | stream    | end after 3 unframed            | 3 events, cut | 1    |
      | unsafe    | unframed                        | whole         | 1    |
      | unsafe    | end after unframed              | unknown       | 1    |
      | safe      | end after unframed, answer      | whole         | 2    |

  Scenario Outline: such an answer is cut if another process or a silent one has the address then
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                | answer        | runs |
      | stream    | be replaced after 3 unframed          | 3 events, cut | 1    |
      | resumable | be replaced after 3 unframed, stream  | 5 events      | 2    |
      | unsafe    | be replaced after unframed            | unknown       | 1    |
      | safe      | be replaced after unframed, answer    | whole         | 2    |
      | stream    | fall silent after 3 unframed          | 3 events, cut | 1    |
      | unsafe    | fall silent after unframed            | unknown       | 1    |

  Scenario Outline: an endpoint that leaves or is gone ends in the midst of such an answer
    Given a relay node with two endpoints that do: <script>
    When the endpoint of a <kind> request is <state> as its answer ends
    Then the answer is <answer>
    And the endpoints ran it <runs> times
    And no crash is recorded

    Examples:
      | kind      | state   | script                               | answer        | runs |
      | stream    | leaving | end after 3 unframed                 | 3 events, cut | 1    |
      | resumable | leaving | end after 3 unframed, stream         | 5 events      | 2    |
      | unsafe    | leaving | end after unframed                   | unknown       | 1    |
      | safe      | leaving | end after unframed, answer           | whole         | 2    |
      | stream    | gone    | end after 3 unframed                 | 3 events, cut | 1    |
      | unsafe    | gone    | be replaced after unframed           | unknown       | 1    |
      | stream    | leaving | unframed events                      | 5 events      | 1    |
      | unsafe    | leaving | unframed                             | whole         | 1    |
      | unsafe    | gone    | unframed                             | whole         | 1    |
