@sockets @readme
Feature: What a reader and the person on call are told to type works

  Scenario: every command of the README runs as written
    When the console lines of README.md are typed in one shell
    Then each ends as the page says

  Scenario Outline: rookctl tells what is wrong by its exit code and in one line
    When <command> is typed
    Then it exits <code> and says <text>

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
      | rookspring run --name Bad_Name --data-centre x --host localhost --port 0 | 2 | port |

  Scenario: every faulty setting is named at once
    When rookspring run --name Bad_Name --data-centre x --host localhost --trace-share 2 is typed
    Then it exits 2 and says name:
    And it also says host:
    And it also says shared_key:
    And it also says signing_keys:
    And it also says trace_share:

  Scenario: every event that the code logs is declared
    Then each log event of the packages is declared

  Scenario: the page of settings is the program's own
    When rookspring settings is typed
    Then it prints docs/operators/settings.md

  Scenario Outline: examples declare what the stand-ins' users declare
    Then examples/<user>.yaml declares the resources of <user>

    Examples:
      | user     |
      | fjordlap |
      | kiosk    |

  Scenario: each log event and metric is on the operators' page
    Then docs/operators/alerts.md names every log event and metric

  Scenario: the commands of the page on failed requests print what it shows
    When the commands of docs/OPERATIONS.md are typed
    Then each prints what stands below it

  Scenario Outline: a request's story is read from the nodes' logs
    When rookctl explains <id> from the kept excerpt of a day of trouble
    Then it exits <code> and tells <told>

    Examples: the three requests of docs/OPERATIONS.md, and one that is not there
      | id               | code | told                                                        |
      | b13a7a17079c8463 | 0    | refused-unknown after 4.09634 s: 502 endpoint_failed        |
      | b13a7a17079c8463 | 0    | event=endpoint_gone level=info endpoint=i-bbbc44f258        |
      | 1230da0a5b6b9322 | 0    | what="load noda452d0a"                                      |
      | 1230da0a5b6b9322 | 0    | 503 absent: noda452d0a is on none of 5 endpoints            |
      | 6b0724486ad9d410 | 0    | other attempts failed at i-303bab1ab7 within 5 s of it      |
      | 0000000000000000 | 4    | no line of the log has this id                              |
