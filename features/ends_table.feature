@relay
Feature: A table of the ends of answers, between sockets

  # Framings x ends x causes x places x what callers do x kinds of requests, generated. What callers
  # are told is held against what the runs made; the rules, what the table leaves out, and what the
  # protocol tells no node, each with its reason, are in ends_table and ends_checks. All rows:
  # make bench B=ends.

  Scenario Outline: each framing, end and cause together, and each pair of all fields
    Given two linked nodes, of which the first hands its requests over
    When rows of the framing <framing> are played that have each end and cause, and each pair
    Then no row breaks a rule

    Examples:
      | framing |
      | chunks  |
      | neither |
      | length  |

  Scenario: rows drawn at random
    Given two linked nodes, of which the first hands its requests over
    When 30 rows are drawn and played
    Then no row breaks a rule

  Scenario: the table leaves out no framing, end, cause, place, caller or kind
    Then the table has each value of each field, and each of its notes is about some row
