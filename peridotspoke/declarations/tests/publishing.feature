Feature: Publishing
  A version is published by one compare-and-swap from the version that the operator
  saw. Versions only grow, and the result reported to the operator is correct.

  Scenario Outline: A publication based on an outdated version is refused
    Given version 3 is published
    When ana publishes a change based on version 3 after beto has published <beto>
    Then the result reported to ana is <result>
    And version <version> with beto's change is published

    Examples:
      | beto    | result                                          | version |
      | once    | beto: publish version 4: service/lustenau (b-0) | 4       |
      | thrice  | beto: publish version 6: service/lustenau (b-2) | 6       |

  Scenario Outline: The result is reported correctly when the platform fails
    Given version 3 is published
    When the platform <fault> as ana publishes a change
    Then the result reported to ana is <result>
    And version <version> is published

    Examples:
      | fault                              | result  | version |
      | loses the answer of the swap       | 4       | 4       |
      | loses the answer and goes down     | 4       | 4       |
      | loses the swap                     | unknown | 3       |
      | refuses the swap                   | unavailable | 3   |
      | loses the answer of a part's swap  | 4       | 4       |

  Scenario Outline: A publication after lost data continues above the versions in force
    Given version 3 is published
    And a live process has version 3 in force
    When the key-value service <event> and ana publishes a change
    Then the result reported to ana is 4
    And the process puts version 4 into force

    Examples:
      | event                    |
      | loses the head           |
      | loses all but the members |
      | restores version 1       |

  Scenario: A process ignores a head with an older version
    Given version 3 is published
    And a live process has version 3 in force
    When the key-value service restores version 1
    Then the process keeps version 3 in force

  Scenario: A part that can't be fetched is fetched again later
    Given version 3 is published
    And a process for which the platform is down between reading the head and its parts
    Then the process puts version 3 into force

  Scenario: Parts are pruned unless the head names them
    Given version 1 is published
    When 40 further versions are published
    Then at most 10 parts are stored, among them each part of the head
