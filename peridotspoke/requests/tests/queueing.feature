Feature: Queueing
  A request starts if a slot is free, waits while it can still start in time, and
  is rejected as soon as it can't.

  Scenario: A waiting request starts when an upstream is added
    Given a service without upstreams
    When a request with 10 s left is offered
    Then it waits
    When an upstream is added
    Then the request starts

  Scenario: A waiting request starts when the share of slots grows
    Given a service with 1 upstream of 0 slots
    When a request with 10 s left is offered
    Then it waits
    And a demand of 1 slot is reported
    When the share grows to 1 slot
    Then the request starts

  Scenario Outline: A request is queued or rejected by its deadline
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And <waiting> requests wait and 2 run
    When a request with <left> s left is offered
    Then it <decision>

    Examples:
      | waiting | left | decision                             |
      | 0       | 4    | waits                                |
      | 4       | 3    | is rejected for the expected wait    |
      | 4       | 8    | waits                                |
      | 0       | 0.5  | is rejected for the time left        |
      | 8       | 60   | is rejected for the queue length     |

  Scenario: Constant run times are estimated with a margin
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And its requests have run 1 s 40 times
    And 0 requests wait and 2 run
    When a request with 1.05 s left is offered
    Then it is rejected for the time left

  Scenario: A waiting request that can't start in time is rejected before its deadline
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And 0 requests wait and 2 run
    When a request with 4 s left is offered
    And 3.5 s pass
    Then it is rejected for the latest start

  Scenario: A withdrawn request makes room in the queue
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And 8 requests wait and 2 run
    When one of the waiting requests is withdrawn
    And a request with 60 s left is offered
    Then it waits

  Scenario: A wrong estimate doesn't block a service
    Given a service with 1 upstream of 0 slots
    And its requests are estimated to run 100 s
    When a request with 4 s left is offered
    Then it waits

  Scenario Outline: The spare pool's executors serve only services that declare overflow
    Given the spare pool has 1 upstream with <own> of its own requests waiting
    And a service without upstreams that <declares> overflow
    When a request with 4 s left is offered
    Then it <decision>

    Examples:
      | own | declares         | decision |
      | 0   | declares         | starts   |
      | 0   | doesn't declare  | waits    |
      | 1   | declares         | waits    |

  Scenario: Competing services get equal slot time on the spare pool
    Given the spare pool has 4 upstreams with 2 slots
    And 3 competing services whose requests run 1 s, 2 s and 4 s
    When each service keeps 8 requests waiting for 400 s
    Then the largest share of slot time is at most 1.05 times the smallest

  Scenario: An executor that fails every request is ejected and probed
    Given a service with 4 upstreams, 1 of them failing every request
    When 40 bursts of 10 requests arrive in 40 s
    Then at most 12 of them fail

  Scenario: A service whose executors all fail doesn't lose all of them
    Given a service with 4 upstreams, 4 of them failing every request
    When 40 bursts of 10 requests arrive in 40 s
    Then all 400 of them start
