Feature: Queueing
  Requests start where a slot is free, wait while they can still start in time,
  and are refused at once when they can't.

  Scenario: A request that waited for an upstream starts when routes change
    Given a service without upstreams
    When a request with 10 s left is offered
    Then it waits
    When an upstream appears
    Then the request starts

  Scenario: A request that waited for a share starts when shares grow
    Given a service with 1 upstream of 0 slots
    When a request with 10 s left is offered
    Then it waits
    And the lender is told that 1 slot is wanted
    When the share grows to 1 slot
    Then the request starts

  Scenario Outline: Admission by deadline
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And <waiting> requests wait and 2 run
    When a request with <left> s left is offered
    Then it <is>

    Examples:
      | waiting | left | is                                  |
      | 0       | 4    | waits                               |
      | 4       | 3    | is refused for the expected wait    |
      | 4       | 8    | waits                               |
      | 0       | 0.5  | is refused for the time that is left |
      | 8       | 60   | is refused for the queue's length   |

  Scenario: Even run times keep a margin
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And its requests have run 1 s 40 times
    And 0 requests wait and 2 run
    When a request with 1.05 s left is offered
    Then it is refused for the time that is left

  Scenario: What can't start in time any more is refused before its deadline
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And 0 requests wait and 2 run
    When a request with 4 s left is offered
    And 3.5 s pass
    Then it is refused for the start

  Scenario: A caller that leaves frees its place
    Given a service with 1 upstream of 2 slots whose requests run 1 s
    And 8 requests wait and 2 run
    When one of the waiting callers leaves
    And a request with 60 s left is offered
    Then it waits

  Scenario: A wrong estimate doesn't shut a service out
    Given a service with 1 upstream of 0 slots
    And its requests are thought to run 100 s
    When a request with 4 s left is offered
    Then it waits

  Scenario Outline: The spare's executors serve only services that declare it
    Given the spare has 1 upstream with <own> of its own requests waiting
    And a service without upstreams that <declares> overflow
    When a request with 4 s left is offered
    Then it <is>

    Examples:
      | own | declares | is     |
      | 0   | declares | starts |
      | 0   | denies   | waits  |
      | 1   | declares | waits  |

  Scenario: Rivals get even shares of the spare's slots
    Given the spare has 4 upstreams with 2 slots
    And 3 rivals whose requests run 1 s, 2 s and 4 s
    When each rival keeps 8 requests waiting for 400 s
    Then the largest share of slot time is at most 1.05 times the smallest

  Scenario: An executor that fails all it gets is ejected and probed
    Given a service with 4 upstreams of which 1 fails all it gets
    When 40 bursts of 10 requests come in 40 s
    Then at most 12 of them fail

  Scenario: Never all executors are ejected
    Given a service with 4 upstreams of which 4 fails all it gets
    When 40 bursts of 10 requests come in 40 s
    Then all 400 of them start
