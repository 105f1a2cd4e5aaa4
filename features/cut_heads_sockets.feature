@relay
Feature: Answers that are cut anywhere, between sockets

  # Guards against answers of which a part is missing and that are passed on, or used, as whole.

  Scenario Outline: a caller never gets an endpoint's cut answer as a whole one
    Given a relay node with one endpoint that does: answer
    When its answer <shape> to a <kind> request is cut after each byte, each on a used connection
    Then its callers get it whole with its last byte, and an error before
    And nothing ran twice that must not

    Examples:
      | kind   | shape                                  |
      | unsafe | with a length                          |
      | unsafe | in chunks with trailers                |
      | unsafe | after an interim head                  |
      | unsafe | after one of another request           |
      | unsafe | that offers an upgrade, with a length  |
      | unsafe | 204                                    |
      | stream | of events                              |

  Scenario Outline: a caller never gets an endpoint's faulty answer as a whole one
    Given a relay node with one endpoint that does: answer
    When its answer to an unsafe request is each of the faulty ones, <after>
    Then its callers get an error or a cut answer each time
    And nothing ran twice that must not

    Examples:
      | after                         |
      | each on a new connection      |
      | each on a used connection     |

  Scenario Outline: an endpoint's answer in any sound shape is passed on whole
    Given a relay node with one endpoint that does: answer
    When its answer to a <kind> request is each of the sound ones
    Then its callers get each whole

    Examples:
      | kind   |
      | unsafe |
      | HEAD   |

  Scenario: an answer that its close ends is whole right behind another that was closed before it was asked for
    Given a relay node with one endpoint that does: answer
    When it closes an answer with a length at once, and then one without a length a little after its bytes
    Then its callers get each whole

  Scenario: what follows an answer without a body on a caller's connection is the next answer
    Given a relay node with one endpoint that does: answer
    When a stream is answered with 204, and a request follows on its caller's connection
    Then the answer to that request is whole

  Scenario Outline: a caller's request that offers another protocol is answered as any other
    Given a relay node with one endpoint that does: answer
    When a caller sends a <kind> request that offers an upgrade to HTTP/2
    Then the answer is whole
    And the endpoints ran it 1 times

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  Scenario Outline: another node's cut answer is never passed on as a whole one
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known
    When the other node's answer <shape> to a handed-over <kind> request is cut after each byte
    Then its callers get it whole with its last byte, and an error before

    Examples:
      | kind   | shape                   |
      | unsafe | with a length           |
      | unsafe | in chunks with trailers |
      | unsafe | after an interim head   |
      | stream | of events               |

  Scenario: another node's faulty answer is never passed on as a whole one
    Given 2 linked nodes that share three endpoints, and callers at each
    And the first node reaches no endpoint, which is known
    When the other node's answer to a handed-over request is each of the faulty ones
    Then its callers get an error or a cut answer each time

  Scenario Outline: a cut answer to a call of a node's own counts as none
    Given a relay node with one endpoint that does: answer
    When the answer <framing> to <call> is cut after each byte
    Then it counts as none before <end>, and as one with it

    Examples:
      | call             | framing          | end                   |
      | an order         | with a length    | its last byte         |
      | an order         | in chunks        | its last byte         |
      | an order         | without a length | the end of its head   |
      | a report         | with a length    | its last byte         |
      | a report         | in chunks        | its last byte         |
      | a report         | without a length | the end of its value  |

  Scenario Outline: a cut answer of the store is a failure, and never an empty one
    When the answer <framing> to <call> of the store is cut after each byte
    Then it counts as none before <end>, and as one with it

    Examples:
      | call     | framing          | end                  |
      | a list   | with a length    | its last byte        |
      | a list   | in chunks        | its last byte        |
      | a list   | without a length | the end of its value |
      | a watch  | with a length    | its last byte        |
      | a watch  | without a length | the end of its value |
      | a get    | with a length    | its last byte        |
      | a get    | without a length | the end of its value |
      | a put    | with a length    | its last byte        |
      | a put    | in chunks        | its last byte        |
      | a put    | without a length | the end of its value |

  Scenario Outline: the product's own clients take no cut answer for a whole one
    When the answer <framing> to the product's own <call> is cut after each byte
    Then it counts as none before <end>, and as one with it

    Examples:
      | call           | framing          | end                  |
      | service call   | with a length    | its last byte        |
      | service call   | in chunks        | its last byte        |
      | service call   | after an interim head | its last byte   |
      | order          | with a length    | its last byte        |
      | order          | without a length | the end of its value |
      | report         | with a length    | its last byte        |
      | report         | without a length | the end of its value |
      | generation     | with a length    | its last byte        |
      | generation     | in chunks        | the end of its value |
      | generation     | without a length | the end of its value |
      | platform list  | with a length    | its last byte        |
      | platform list  | in chunks        | its last byte        |
      | platform list  | without a length | the end of its value |
      | platform get   | with a length    | its last byte        |
      | platform get   | without a length | the end of its value |
      | platform put   | with a length    | its last byte        |
      | platform put   | without a length | the end of its value |
      | platform watch | with a length    | its last byte        |
      | platform watch | without a length | the end of its value |
      | box list       | with a length    | its last byte        |
      | box list       | without a length | the end of its value |
      | cache call     | with a length    | its last byte        |
      | cache call     | without a length | the end of its value |
      | operator call  | with a length    | its last byte        |
      | operator call  | without a length | the end of its value |

  Scenario: the product's own service call takes no faulty framing for a whole answer
    When the answer to the product's own service call is each of the faulty ones
    Then none is taken but those whose lines alone are faulty, which are whole

  Scenario Outline: an answer of another shape is a failure of the product's own call
    When the product's own <call> is answered with each JSON value of another shape
    Then each counts as none

    Examples:
      | call          |
      | order         |
      | report        |
      | generation    |
      | platform list |
