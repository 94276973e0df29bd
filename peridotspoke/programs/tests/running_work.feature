Feature: Jobs on a draining instance
  A drain waits for the jobs on an instance as it does for its requests.

  Scenario Outline: Jobs on an instance count as in flight
    Given an entry that reports <requests> requests in flight
    And a pool whose batches are <read>, with <jobs> jobs on a worker that is <state>
    Then <running> are in flight

    Examples:
      | requests | read   | jobs | state    | running |
      | 0        | read   | 0    | draining | 0       |
      | 2        | read   | 1    | draining | 3       |
      | 0        | read   | 0    | serving  | 1       |
      | 0        | unread | 0    | draining | 1       |
