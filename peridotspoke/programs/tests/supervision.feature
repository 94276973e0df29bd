Feature: Jobs from submission to their end
  An entry instance, a controller and workers, each over its own sockets.

  Scenario: Jobs run on the workers of their pool
    Given a deployment with 2 workers
    When 3 jobs that run 0.1 seconds are submitted
    Then each ends as finished and has run once

  Scenario Outline: A job meets a fault of its worker
    Given a deployment with 1 workers
    And each worker <fault>
    When 1 jobs that run 0.1 seconds are submitted
    Then each ends as <phase> and has run once

    Examples:
      | fault              | phase    |
      | loses two answers  | finished |
      | fails all          | failed   |
      | lies about times   | finished |
