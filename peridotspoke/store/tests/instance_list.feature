Feature: The contract of the platform's instance list

  Scenario Outline: A reading of the list under a fault
    Given a list of 3 instances that was read once
    When the list is <change> and the platform is <fault>
    Then the next reading gives <reading>

    Examples:
      | change           | fault        | reading                     |
      | left as it is    | healthy      | the same object             |
      | cut to 1         | healthy      | 1 instances                 |
      | cut to 1         | lagging      | the same object             |
      | left as it is    | down         | a PlatformUnavailableError  |
      | doubled          | healthy      | a PlatformError             |
