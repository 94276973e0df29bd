Feature: Idempotency keys
  A request with an Idempotency-Key runs at most once within the key's lifetime,
  whichever entry instance receives the repeated requests.

  Scenario Outline: A request is repeated with the same key
    Given entry instances one and two
    And the first request at entry one <ended>
    When the request is repeated at entry <entry>
    Then the repeated request gets <result>
    And the request ran <runs> times

    Examples:
      | ended                                       | entry | result           | runs |
      | was answered                                | one   | the first answer | 1    |
      | was answered                                | two   | the first answer | 1    |
      | was answered, then one becomes unreachable  | two   | unknown          | 1    |
      | was answered, then one restarts             | two   | unknown          | 1    |
      | was answered, then one restarts             | one   | unknown          | 1    |
      | was answered, then one evicts the answer    | one   | unknown          | 1    |
      | was answered, then one evicts the answer    | two   | unknown          | 1    |
      | ended with unknown outcome                  | one   | unknown          | 1    |
      | ended with unknown outcome                  | two   | unknown          | 1    |
      | was not run                                 | one   | its own answer   | 1    |
      | was not run                                 | two   | its own answer   | 1    |
      | was not run, then one becomes unreachable   | two   | unknown          | 0    |
      | is still running                            | one   | the first answer | 1    |
      | is still running                            | two   | the first answer | 1    |

  Scenario Outline: The platform fails while a key is claimed
    Given entry instances one and two
    When the platform <fault> and a request arrives at entry one
    Then the request gets <result>
    And the request ran <runs> times
    And after the platform recovers a repeated request at entry two gets <later>
    And the request ran once in total

    Examples:
      | fault                           | result         | runs | later            |
      | is down                         | not-run        | 0    | its own answer   |
      | loses an answer                 | its own answer | 1    | the first answer |
      | loses an answer, then goes down | not-run        | 0    | its own answer   |

  Scenario: A repeated request during an outage doesn't release the key
    Given entry instances one and two
    And the first request at entry one was answered, then one evicts the answer
    When the platform is down and a repeated request arrives at entry one
    And the request is repeated at entry one
    Then the repeated request gets unknown
    And the request ran 1 times

  Scenario: Two entry instances get requests with the same key concurrently
    Given entry instances one and two
    When the same request arrives at both concurrently
    Then both requests get the same answer
    And the request ran 1 times

  Scenario Outline: A key is reused for a different request
    Given entry instances one and two
    And the first request at entry one was answered
    When a different request with the key arrives at entry <entry>
    Then the request is refused with status 422

    Examples:
      | entry |
      | one   |
      | two   |

  Scenario Outline: A claim outlives its holder for the key's lifetime
    Given entry instances one and two
    And the first request at entry one, 160 s after another claim, was answered, then one becomes unreachable
    When <seconds> s pass
    And the request is repeated at entry two
    Then the repeated request gets <result>

    Examples:
      | seconds | result         |
      | 599     | unknown        |
      | 800     | its own answer |

  Scenario: An entry instance is paused while it claims a key
    Given entry instances one and two
    When entry one is paused for 700 s while it claims the key
    Then the request gets not-run
    And the request ran 0 times

  Scenario: A claim takes a single write
    Given entry instances one and two
    When 50 requests with different keys arrive at entry one
    Then the platform has served 50 swaps and 1 lease grants
