Feature: Jobs from submission to their end
  An entry instance, a controller and workers communicate over sockets.

  Scenario: Jobs run on the workers of their pool
    Given a deployment with 2 workers
    When 3 jobs that run 0.1 seconds are submitted
    Then each job ends as finished after one run

  Scenario Outline: The worker of a job has a fault
    Given a deployment with 1 workers
    And each worker <fault>
    When 1 jobs that run 0.1 seconds are submitted
    Then each job ends as <phase> after one run

    Examples:
      | fault                      | phase    |
      | loses two answers          | finished |
      | fails all tasks            | failed   |
      | reports negative run times | finished |
