Feature: Client of the platform's instance list

  Scenario Outline: Reading the list under faults
    Given a list of 3 instances that was read once
    When the list is <change> and the platform is <fault>
    Then the next read gives <result>

    Examples:
      | change           | fault        | result                      |
      | unchanged        | healthy      | the same object             |
      | reduced to 1     | healthy      | 1 instance                  |
      | reduced to 1     | lagging      | the same object             |
      | unchanged        | down         | a PlatformUnavailableError  |
      | with a duplicate | healthy      | a PlatformError             |
