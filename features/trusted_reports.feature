Feature: A lease holder gives no order based on a report that it dropped

  # Guards against an order to load more than a runner has room for, seen on one simulated day of 160 and in
  # one of five repetitions of it. The holder withdraws a model from new requests, to unload it once its
  # last ones have ended. The holder is suspended for four seconds, its lease lapses, and it acquires the
  # lease again with new accounts of the runners. A report that counts fewer orders than are known is
  # dropped, but the account still counted as confirmed by the runner, as reading a report and applying it
  # were taken for the same. The withdrawn model is in neither the account nor the view, and its memory
  # is promised twice.
  # The log of that run shows the withdrawal (7.79 s), the suspension (8.2 to 12.2 s), the lease of the
  # next epoch (12.2245 s), the first order 4 ms later, a plan by which the withdrawn model is resident
  # nowhere, and the order that exceeded the memory (12.82 s).

  Scenario Outline: a report that counts fewer orders than are known does not allow orders
    Given a lease holder that has withdrawn n from a runner that holds m and n
    When it acquires the lease again, and the runner's report <report>
    Then the holder <result>

    Examples:
      | report                                        | result                      |
      | is older than the last order                  | gives the runner no order   |
      | is current                                    | counts n as held there      |
      | is older, and a later one is current          | counts n as held there      |
