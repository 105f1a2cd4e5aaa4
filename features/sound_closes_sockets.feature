@relay
Feature: Sound answers without length or chunks, which end with their connection

  Scenario Outline: a sound stream that ends with its connection is not cut at its caller
    Given a relay node with two endpoints that do: <script>
    When a caller sends a <kind> request
    Then the answer is <answer>
    And the endpoints ran it <runs> times

    Examples:
      | kind      | script                                   | answer   | runs |
      | stream    | unframed events                          | 5 events | 1    |
      | stream    | half close after unframed events         | 5 events | 1    |
      | stream    | unframed events that quote a status line | 5 events | 1    |
      | resumable | unframed stream, unframed stream         | 5 events | 2    |
