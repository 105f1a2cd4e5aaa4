@relay
Feature: What the stand-ins call a reset or a close is one on the wire

  Scenario Outline: a raw client sees how each stand-in ends a connection
    Given a stand-in: <stand-in>
    When a raw client sends it a request, reads to the end, and the stand-in does: <what>
    Then the client sees a <end>

    Examples: the model server, by its steps
      | stand-in         | what                    | end   |
      | the model server | reset                   | reset |
      | the model server | close                   | close |
      | the model server | unframed reset          | reset |
      | the model server | unframed                | close |
      | the model server | 3 unframed              | close |
      | the model server | half                    | close |
      | the model server | half unframed           | close |
      | the model server | break after 3           | close |
      | the model server | reset after 3           | reset |
      | the model server | reset after 3 unframed  | reset |
      | the model server | unframed stream: whole  | close |
      | the model server | unframed stream: closed | close |
      | the model server | unframed stream: torn   | close |
      | the model server | unframed stream: reset  | reset |
      | the model server | order: lose             | reset |
      | the model server | order: close            | close |
      | the model server | order: take and lose    | reset |
      | the model server | order: take and close   | close |

    Examples: the model server, by what the process does
      | stand-in         | what                                   | end   |
      | the model server | resets a new connection                | reset |
      | the model server | resets its streams                     | reset |
      | the model server | closes its streams                     | close |
      | the model server | ends, with all read                    | close |
      | the model server | ends, with a part of a request unread  | reset |

    Examples: the others
      | stand-in             | what                    | end   |
      | the object store     | outage                  | reset |
      | the object store     | outage, by closes       | close |
      | the runner           | is killed               | close |
      | the plain service    | is killed               | close |
      | the plain service    | loses the call          | reset |
      | the plain service    | runs it, loses its answer | reset |
      | the faulty service   | resets after reading    | reset |
      | the faulty service   | closes after reading    | close |
      | the raw server       | closes after its answer | close |
      | the node's own links | reset                   | reset |
      | the node's own links | closed                  | close |

  Scenario Outline: the end of a connection passes no silent link
    Given a node's link to an endpoint that is silent
    When the endpoint <ends> the connection
    Then the node sees it only once the link is healed

    Examples:
      | ends   |
      | closes |
      | resets |

  Scenario: a connection that its peer has ended is reset without an error
    Given a connection that its peer has ended, and whose socket is closed
    When it is reset
    Then the stand-in raises no error
