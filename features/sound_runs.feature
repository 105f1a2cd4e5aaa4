Feature: A run that its node ends, at an endpoint that lives on, speaks for its request

  # Streams that all end at their deadline were under each of the crashes that had other causes,
  # and no answer of theirs was ever whole: 27 in 100 of all requests were refused.
  Scenario Outline: a run that its node ends, at an endpoint that lives on, speaks for its request
    Given a node whose request runs at three endpoints, one after another
    When its runs end so, that many seconds after the first event: <runs>
    Then that request is <fate> from then on

    Examples: it lives on
      | runs                                                                              | fate |
      | crashes 0.2; lives on 0.5; crashes 0.2; lives on 0.5; crashes 0.2                 | sent |
      | crashes 0.2; crashes 0.2; lives on 0.5; crashes 0.2                               | sent |
      | crashes 0; lives on 0.5; crashes 0; crashes 0                                     | sent |
      | crashes 0.2; crashes 0.2; lives on, left by its caller 0.5; crashes 0.2           | sent |
      | crashes 0.2; crashes 0.2; crashes later 0.5; crashes 0.2                          | sent |
      | crashes 0.4; lives on 0.5; lives on 0.2; crashes 0.4; crashes 0.4                 | sent |

    Examples: it has not run as far, or may have crashed its endpoint
      | runs                                                                              | fate    |
      | crashes 0.8; lives on 0.5; crashes 0.8; lives on 0.5; crashes 0.8                 | refused |
      | lives on 0.5; crashes 0.2; crashes 0.2; crashes 0.2                               | refused |
      | crashes 0.2; crashes 0.2; lives on without an event 0.5; crashes 0.2              | refused |
      | crashes 0; crashes 0; lives on without an event 0.5; crashes 0                    | refused |
      | crashes 0.2; crashes 0.2; is not heard from again 0.5; crashes 0.2                | refused |
      | crashes 0.2; crashes 0.2; crashes 0.2 s after it was ended at 0.5; crashes 0.2    | refused |
      | crashes 0.2; crashes 0.2; crashes 0.5 s after it was ended at 0.5; crashes 0.2    | refused |

  Scenario Outline: a node tells its sound runs to those that may convict without them
    Given a node whose request runs at three endpoints, one after another
    When a node that knows <what> hears of it after a run that lived on 0.5 s
    Then <then>

    Examples:
      | what                         | then                                |
      | of three crashes             | both send that request from then on |
      | the verdict and its evidence | both send that request from then on |
      | the verdict alone            | the first keeps that verdict        |
