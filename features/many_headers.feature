Feature: Requests with many headers

  # Guards against short headers that count as their bytes and take twenty times as much.
  Scenario Outline: a request with more headers than are kept is refused and not served
    Given a connection of a caller, whose requests take a moment
    When it sends a request with <number> short headers, <size> bytes at a time
    Then it is answered <status>

    Examples:
      | number | size  | status |
      | 250    | 16384 | 200    |
      | 250    | 100   | 200    |
      | 300    | 16384 | 431    |
      | 300    | 100   | 431    |
      | 2600   | 1000  | 431    |
