Feature: A caller isn't turned away for good while its model is being loaded for it

  # Guards against callers refused at their last try though their model's load was under way and in their time.

  Scenario: the last refusal of a caller is true while all runners are loading
    Given 8 runners with 24 places for 30 models, each load as long as 8 objectives
    When they are requested for 45 s by callers who bear 4 objectives, with seeds 1 to 4
    Then at most 2 in 100 last refusals came while a load was to end in the time that the caller would bear
    And at most 2 in 100 callers left while they were held
    And at least 50 in 100 callers for the other models were served, and 95 in 100 for the hot ones
