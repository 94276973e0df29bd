Feature: Publishing
  A version is published by one swap from the version that the operator saw. It only
  grows, and what the operator is told is true.

  Scenario Outline: Two operators publish at once
    Given version 3 is published
    When ana publishes a change and beto has published <beto> since ana looked
    Then ana is told <told>
    And version <version> is published and beto's change is in it

    Examples:
      | beto    | told                                            | version |
      | once    | beto: publish version 4: service/lustenau (b-0) | 4       |
      | thrice  | beto: publish version 6: service/lustenau (b-2) | 6       |

  Scenario Outline: A fault of the platform while a version is published
    Given version 3 is published
    When the platform <fault> as ana publishes a change
    Then ana is told <told>
    And version <version> is published

    Examples:
      | fault                              | told    | version |
      | loses the answer of the swap       | 4       | 4       |
      | is away after losing the answer    | 4       | 4       |
      | loses the swap                     | unknown | 3       |
      | refuses the swap                   | unavailable | 3   |
      | loses a part's answer              | 4       | 4       |

  Scenario Outline: A version never goes back
    Given version 3 is published
    And a live process has version 3 in force
    When the service <event> and ana publishes a change
    Then ana is told 4
    And the process takes version 4 into force

    Examples:
      | event                    |
      | loses its head           |
      | loses all but its members |
      | restores version 1       |

  Scenario: A process refuses an older head
    Given version 3 is published
    And a live process has version 3 in force
    When the service restores version 1
    Then the process keeps version 3

  Scenario: A part that can't be fetched is fetched later
    Given version 3 is published
    And a process that meets an outage between the head and its parts
    Then the process takes version 3 into force

  Scenario: Old parts are removed, those in use stay
    Given version 1 is published
    When 40 further versions are published
    Then at most 10 parts are kept and each part of the head is there
