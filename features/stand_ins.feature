Feature: Stand-ins that go on after what the tests do to them

  Scenario: watches that are cancelled as they time out leave the store usable
    When 8 watches of 2 ms are waiting, half of them are cancelled as they time out, 40 times
    Then each time all end, and the store can be written within 0.3 s
