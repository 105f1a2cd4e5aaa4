Feature: The map of the modules is true

  Scenario: the page of the house names each module
    Then docs/design/house.md names each module of the packages

  Scenario Outline: a package imports only what stands above it
    Then <package> imports no more than: <allowed>

    Examples:
      | package             | allowed                                          |
      | rookspring_core     | itself                                           |
      | rookspring          | rookspring_core, rookspring_fakes for the demo   |
      | rookspring_platform | rookspring_core, rookspring                      |
      | rookspring_fakes    | rookspring_core, rookspring                      |
      | rookspring_ctl      | rookspring_core, rookspring                      |

  Scenario: nothing outside the adapter knows the platform's names
    Then no module outside rookspring_platform names a header or field of the platform

  Scenario: our day files say what they are for and fit any deployment
    Then each day file says in its first line what it is for, and is named as its day
    And no day file names a service, a kind of request or a data centre of one deployment
