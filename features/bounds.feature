Feature: Values and addresses that others wrote are checked before they are kept

  Scenario Outline: a value beyond the bounds is rejected, and the error names its path
    When the value <value> is checked under the name spec
    Then the check says <error>

    Examples:
      | value              | error                                              |
      | 32 levels          | nothing                                            |
      | 33 levels          | .0.0.0.0: nested deeper than 32 levels             |
      | 100000 levels      | nested deeper than 32 levels                       |
      | a deep field       | spec.x.y.0.0                                       |
      | 64 bits            | nothing                                            |
      | 65 bits            | spec.x: a number of more than 64 bits              |
      | -64 bits           | spec.x: a number of more than 64 bits              |
      | 5000 digits        | spec.x.1: a number of more than 64 bits            |
      | infinite           | spec.x: a number that is too large or none         |
      | no number          | spec.x: a number that is too large or none         |
      | half a pair        | spec.x: text that UTF-8 can't hold                 |
      | half a pair as key | spec.x: a key is no text of UTF-8                  |
      | a number as key    | spec: a key is no text of UTF-8                    |
      | bytes              | spec.x: a bytes is no JSON value                   |
      | text of the world  | nothing                                            |
      | itself infinite    | spec: a number that is too large or none           |
      | long keys          | spec.kkkkkkkk                                      |
      | a key with a break | spec.a\nb: a number that is too large or none      |
      | two million values | spec: more than 1000000 values                     |

  Scenario: the values of the largest deployment are checked quickly
    Then 7100 entries of 3 models with 8 adapters are checked in 0.6 s

  Scenario Outline: an address is accepted only as a host and a port that can be dialled
    When the address <address> is parsed
    Then the address is <read>

    Examples:
      | address                | read                      |
      | "10.1.64.1:8122"       | 10.1.64.1 and 8122        |
      | "10.1.64.1:1"          | 10.1.64.1 and 1           |
      | "10.1.64.1:65535"      | 10.1.64.1 and 65535       |
      | "::1:8122"             | ::1 and 8122              |
      | "[fe80::1]:8122"       | fe80::1 and 8122          |
      | "box-7.example:80"     | a name                    |
      | "localhost:80"         | a name                    |
      | "10.1.64.1:0"          | rejected for its port     |
      | "10.1.64.1:65536"      | rejected for its port     |
      | "10.1.64.1:99999"      | rejected for its port     |
      | "10.1.64.1:111487"     | rejected for HOST:PORT    |
      | "10.1.64.1:-1"         | rejected for HOST:PORT    |
      | "10.1.64.1:+80"        | rejected for HOST:PORT    |
      | "10.1.64.1:\u0663\u0664" | rejected for HOST:PORT  |
      | "10.1.64.1:80\n"       | rejected for HOST:PORT    |
      | "10.1.64.1:80 "        | rejected for HOST:PORT    |
      | "10.1.64.1"            | rejected for HOST:PORT    |
      | ":80"                  | rejected for HOST:PORT    |
      | ""                     | rejected for HOST:PORT    |
      | "a b:80"               | rejected for HOST:PORT    |
      | "a/b:80"               | rejected for HOST:PORT    |
      | "999.0.0.1:80"         | rejected for its host     |
      | "10.1.64:80"           | rejected for its host     |
      | "010.1.64.1:80"        | rejected for its host     |
      | "7:80"                 | rejected for its host     |
      | "a..b:80"              | rejected for its host     |
      | 7                      | rejected for HOST:PORT    |
      | null                   | rejected for HOST:PORT    |
      | ["10.1.64.1:80"]       | rejected for HOST:PORT    |
