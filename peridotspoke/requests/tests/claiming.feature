Feature: Keyed requests
  A request with an Idempotency-Key runs at most once within the key's lifetime,
  wherever its caller repeats it.

  Scenario Outline: A caller repeats the key
    Given entries one and two
    And the first request at entry one <ended>
    When the caller repeats it at entry <repeat>
    Then the repeat is told <told>
    And the request ran <runs> times

    Examples:
      | ended                          | repeat | told             | runs |
      | was answered                   | one    | the first answer | 1    |
      | was answered                   | two    | the first answer | 1    |
      | was answered, then one is cut  | two    | unknown          | 1    |
      | was answered, then one restarts | two   | unknown          | 1    |
      | was answered, then one restarts | one   | unknown          | 1    |
      | was answered, then one forgets | one    | unknown          | 1    |
      | was answered, then one forgets | two    | unknown          | 1    |
      | is unknown                     | one    | unknown          | 1    |
      | is unknown                     | two    | unknown          | 1    |
      | was not run                    | one    | its own answer   | 1    |
      | was not run                    | two    | its own answer   | 1    |
      | was not run, then one is cut   | two    | unknown          | 0    |
      | still runs                     | one    | the first answer | 1    |
      | still runs                     | two    | the first answer | 1    |

  Scenario Outline: The platform fails while a key is claimed
    Given entries one and two
    When the platform <fault> and a request comes to entry one
    Then it is told <told>
    And the request ran <runs> times
    And a repeat at entry two with the platform back is told <later>
    And in all the request ran once

    Examples:
      | fault                      | told       | runs | later            |
      | is down                    | not-run    | 0    | its own answer   |
      | loses an answer            | its answer | 1    | the first answer |
      | loses an answer, then ends | not-run    | 0    | its own answer   |

  Scenario: A repeat in an outage doesn't free the key
    Given entries one and two
    And the first request at entry one was answered, then one forgets
    When the platform is down and a repeat comes to entry one
    And the caller repeats it at entry one
    Then the repeat is told unknown
    And the request ran 1 times

  Scenario: The same key at two entries at once
    Given entries one and two
    When the same request comes to both at once
    Then both are told the same answer
    And the request ran 1 times

  Scenario Outline: A key is used for another request
    Given entries one and two
    And the first request at entry one was answered
    When another request with the key comes to entry <entry>
    Then it is refused with status 422

    Examples:
      | entry |
      | one   |
      | two   |

  Scenario Outline: A claim outlives its holder for the key's lifetime
    Given entries one and two
    And 160 s after a first claim the first request at entry one was answered, then one is cut
    When <seconds> s pass
    And the caller repeats it at entry two
    Then the repeat is told <told>

    Examples:
      | seconds | told           |
      | 599     | unknown        |
      | 800     | its own answer |

  Scenario: An entry is frozen between claim and answer
    Given entries one and two
    When entry one is frozen for 700 s while it claims
    Then it is told not-run
    And the request ran 0 times

  Scenario: Claims cost one write each
    Given entries one and two
    When 50 requests with keys of their own come to entry one
    Then the platform counted 50 swaps and 1 grants
