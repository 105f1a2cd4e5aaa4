@sockets @readme
Feature: Documented commands work as written

  Scenario: every command of the README runs as written
    When the console lines of README.md are typed in one shell
    Then each exits with the documented code

  Scenario Outline: rookctl reports errors by its exit code and in one line
    When <command> is typed
    Then it exits <code> and prints <text>

    Examples:
      | command                                               | code | text                      |
      | rookctl get models -o json                            | 0    | pitwall-llm-00            |
      | rookctl get Endpoint                                  | 0    | pitwall-llm-r0            |
      | rookctl get Model nope                                | 4    | no such object            |
      | rookctl get Modell                                    | 2    | KIND: one of              |
      | rookctl apply -f nowhere.yaml                         | 2    | nowhere.yaml              |
      | rookctl explain pitwall-llm-00                        | 0    | load                      |
      | rookctl explain no-such-thing                         | 4    | no node remembers         |
      | rookctl drain box-77                                  | 4    | box 'box-77'              |
      | rookctl delete Model pitwall-llm-00                   | 5    | delete its adapters first |
      | rookctl top --count 1                                 | 0    | requests                  |
      | rookctl watch services --from 1 --count 1             | 0    | gridmaker                 |
      | rookctl --server http://127.0.0.1:9 status            | 3    | 127.0.0.1:9               |
      | rookctl --key wrong status                            | 6    | Authorization             |
      | rookctl --version                                     | 0    | 0.1.0                     |
      | rookspring --version                                  | 0    | 0.1.0                     |
      | rookspring demo --user nobody                         | 2    | --user                    |
      | rookspring demo --help                                | 0    | [default: demo]           |
      | rookspring run --name Bad_Name --data-centre x --host localhost --port 0 | 2 | port |

  Scenario: the bench names its experiments
    When python -m bench nothing is typed
    Then it exits 2 and prints NAME: expected one of

  Scenario: all invalid settings are reported together
    When rookspring run --name Bad_Name --data-centre x --host localhost --trace-share 2 is typed
    Then it exits 2 and prints name:
    And it also prints host:
    And it also prints shared_key:
    And it also prints signing_keys:
    And it also prints trace_share:

  Scenario: every event that the code logs is declared
    Then each log event of the packages is declared

  Scenario: the page of settings is what the program prints
    When rookspring settings is typed
    Then it prints docs/operators/settings.md

  Scenario Outline: examples declare the resources of the simulated users
    Then examples/<user>.yaml declares the resources of <user>

    Examples:
      | user     |
      | fjordlap |
      | kiosk    |

  Scenario: the operators' page names each log event and metric
    Then docs/operators/alerts.md names every log event and metric

  Scenario: the commands of the page on failed requests print the documented output
    When the commands of docs/OPERATIONS.md are typed
    Then each prints the documented output

  Scenario Outline: rookctl explains a request from the nodes' logs
    When rookctl explains <id> from the log excerpt of a day with failures
    Then it exits <code> and reports <text>

    Examples: the three requests of docs/OPERATIONS.md, and an unknown one
      | id               | code | text                                                        |
      | b13a7a17079c8463 | 0    | refused-unknown after 4.09634 s: 502 endpoint_failed        |
      | b13a7a17079c8463 | 0    | event=endpoint_gone level=info endpoint=i-bbbc44f258        |
      | 1230da0a5b6b9322 | 0    | what="load noda452d0a"                                      |
      | 1230da0a5b6b9322 | 0    | 503 absent: noda452d0a is on none of 5 endpoints            |
      | 6b0724486ad9d410 | 0    | other attempts failed at i-303bab1ab7 within 5 s of it      |
      | 0000000000000000 | 4    | no line of the log has this id                              |

  Scenario Outline: what several nodes logged of a request is told in the order of its times
    When a request is explained from the logs of two nodes, of which <first> was read first
    Then its lines stand in the order of their times, and its end is the one at its entry node

    Examples:
      | first          |
      | the entry node |
      | the other node |

  Scenario: decisions of several nodes are told in their order, also if a node answers late
    When rookctl lists a decision of 1 s ago, and then one of 2 s ago from a node that took 1.5 s
    Then the first of them stands before the second one
