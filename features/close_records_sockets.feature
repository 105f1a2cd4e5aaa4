@relay
Feature: What nodes tell each other of answers that end with their connection, between sockets

  Scenario Outline: a stream that is alone at its endpoint here is not told as whole as another node's breaks off there
    Given two linked relay nodes, with one endpoint with models that does: 3 unframed and no more, <beside>
    When it <drops> the streams that it sends to a caller of each, and lives on
    Then the answer is <answer>

    Examples:
      | beside                 | drops                   | answer        |
      | 3 and no more          | closes                  | 3 events, cut |
      | 3 and no more          | resets                  | 3 events, cut |
      | 3 unframed and no more | resets                  | 3 events, cut |

  Scenario: streams that end one beside the other at their node tell another node of a stop
    Given two linked relay nodes, with one endpoint with models that does: 3 unframed and no more, 3 unframed and no more, 3 unframed and no more
    When it closes the streams that it sends to a caller of the first node and two of the second, and lives on
    Then the answer is 3 events, cut

  Scenario: a stream that ends with its connection is whole beside another node's that goes on
    Given two linked relay nodes, with one endpoint with models that does: unframed events as it stops, 3 and no more
    When it ends the first of the streams that it sends to a caller of each
    Then the answer is 5 events

  Scenario: nodes tell each other what came of such ends, and one that has just started learns it
    Given two linked relay nodes, with one endpoint with models that does: 3 unframed and no more
    When the first has found one end cut that had looked whole
    Then the second doubts such ends of the service within 2 s
    And a node that starts then does within 2 s of its start

  Scenario Outline: what is remembered of a service decides on ends of which nothing else tells
    Given a relay node with two endpoints that do: <script>
    And of the service's ends that had looked whole <outcomes> are remembered
    When a caller sends a <kind> request
    Then the answer is <answer>
    And it is remembered of <whole> that they were whole and of <cut> that they were cut

    Examples:
      | kind      | script                           | outcomes         | answer        | whole | cut |
      | stream    | unframed events                  | 1 cut            | 5 events, cut | 0     | 1   |
      | stream    | unframed events                  | 1 cut, 30 whole  | 5 events      | 30    | 1   |
      | resumable | unframed stream, unframed stream | 1 cut            | 5 events      | 1     | 1   |
      | resumable | unframed stream, unframed stream | nothing          | 5 events      | 1     | 0   |
      | resumable | 3 unframed, stream               | nothing          | 5 events      | 0     | 1   |
      | resumable | 3 unframed, stream               | 1 cut            | 5 events      | 0     | 2   |
