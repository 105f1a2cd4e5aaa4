@relay
Feature: Streams that end with their connection and have a backup of their run, between sockets

  Scenario Outline: a stream that is closed in its midst by an endpoint that lives on is given whole from its backup
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, <script>
    And the endpoints copy their runs to each other, but <fault>
    And two streams ran there before
    When a caller sends a stream request
    Then the answer is <answer>
    And it went on at a copy <times> times
    And no run goes on beside another one

    Examples:
      | script                                          | fault                                | answer        | times |
      | 3 backed up, stream                             | nothing is wrong                     | 5 events      | 1     |
      | 3 backed up, unframed rest                      | nothing is wrong                     | 5 events      | 1     |
      | 3 backed up and a reset, stream                 | nothing is wrong                     | 5 events      | 1     |
      | 3 backed up behind which it goes on, stream     | nothing is wrong                     | 5 events      | 1     |
      | 3 backed up behind which it goes on, stream     | there is no room for the last part   | 5 events      | 1     |
      | 3 backed up behind which it goes on, stream     | the last call is refused for another | 3 events, cut | 0     |
      | 3 backed up behind which it goes on, stream     | there is no answer to the last call  | 3 events, cut | 0     |
      | 3 backed up, stream                             | the copy is gone as it is used       | 3 events      | 0     |
      | 3 backed up and a reset, stream                 | the copy is gone as it is used       | 3 events, cut | 0     |
      | 3 backed up and the end of its process, stream  | nothing is wrong                     | 5 events      | 1     |
      | 3 backed up and the end of its process, stream  | the copy is gone as it is used       | 3 events, cut | 0     |
      | 3 backed up, break at once                      | nothing is wrong                     | 3 events, cut | 1     |

  Scenario Outline: a sound stream is whole, and does not run again
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, <script>
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    When a caller sends a stream request
    Then the answer is 5 events
    And it went on at a copy 0 times
    And it was asked for at its backup <asked> times

    Examples:
      | script      | asked |
      | 5 backed up | 1     |
      | stream      | 0     |

  Scenario: a doubted end in chunks is not asked about at the backup
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 until it stops, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    And no more copies are made
    When a stream request runs whose endpoint is leaving and 200 ms later ends its answers and exits
    Then the answer is 3 events, cut
    And it was asked for at its backup 0 times

  Scenario: a sound stream is whole where ends of its service have turned out to be cut
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 5 backed up
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    And ends of their service have turned out to be cut
    When a caller sends a stream request
    Then the answer is 5 events
    And it was asked for at its backup 1 times

  Scenario: an end that nothing spoke for is on no record of its service, as such ends are asked about first
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up, 3 backed up, stream
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    When a caller sends a stream request
    Then the answer is 5 events
    And no end of their service is on record as cut

  Scenario Outline: no backup is named where nothing shows that it is needed and held
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: <script>
    And the endpoints copy their runs to each other, but <fault>
    And two streams ran there before
    When a caller sends a <kind> request
    Then the answer is <answer>
    And no request named a backup

    Examples:
      | script                                 | fault                   | kind      | answer   |
      | stream, stream, 3 backed up            | nothing is wrong        | stream    | 3 events |
      | 5 backed up, 5 backed up, 3 backed up  | they don't know the call | stream   | 3 events |
      | 5 backed up, 5 backed up, stream       | nothing is wrong        | resumable | 5 events |

  Scenario: the copy that shows that the calls are known is freed
    Given a relay node whose routes take up to 8 s, with two endpoints with models that do: 5 backed up, 5 backed up
    And the endpoints copy their runs to each other, but nothing is wrong
    And two streams ran there before
    Then no endpoint holds a copy soon
