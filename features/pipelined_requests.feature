Feature: Requests that a caller sends before it has the answer to the one before

  # Guards against bytes that are parsed before those that were read earlier.
  Scenario Outline: what comes as an answer ends is read behind what came before
    Given a connection of a caller, whose requests take a moment
    When it sends <first>, then <second> meanwhile, and <third> as the first answer is written
    Then the requests are served in this order: <served>

    Examples:
      | first | second             | third                 | served   |
      | /1    | /2                 | /3                    | /1 /2    |
      | /1    | the head of /2     | the body of /2        | /1 /2    |
      | /1    | the head of /2     | a body that is a head | /1 /2    |
      | /1    | nothing            | /2                    | /1 /2    |
