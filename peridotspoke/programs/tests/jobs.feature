Feature: The HTTP interface for jobs
  A job is accepted once it is stored in the platform's service. The outcome that a
  caller is told is correct even if answers of the platform were lost.

  Background:
    Given the platform and 2 entry instances

  Scenario Outline: A job is submitted during a fault of the platform
    Given the platform <fault>
    When a job is submitted
    Then the status is <status> and the outcome <outcome>
    And <count> jobs are stored

    Examples:
      | fault                       | status | outcome  | count |
      | has no fault                | 202    | answered | 1     |
      | refuses connections         | 503    | not-run  | 0     |
      | is down                     | 504    | unknown  | 0     |
      | loses the answer of a write | 202    | answered | 1     |
      | loses all answers           | 504    | unknown  | 1     |

  Scenario Outline: A submission is repeated with the same idempotency key
    Given the platform <fault>
    When a job is submitted with the key "order-7"
    And the platform has no fault
    And the job is submitted again <how>
    Then the status is <status> and the outcome <outcome>
    And <count> jobs are stored

    Examples:
      | fault             | how                                 | status | outcome  | count |
      | has no fault      | to the same entry instance          | 202    | answered | 1     |
      | has no fault      | to the other entry instance         | 202    | answered | 1     |
      | loses all answers | to the other entry instance         | 202    | answered | 1     |
      | is down           | to the other entry instance         | 202    | answered | 1     |
      | has no fault      | to both entry instances at once     | 202    | answered | 1     |
      | has no fault      | to the same one with another body   | 409    | not-run  | 1     |
      | has no fault      | to the same one for another service | 202    | answered | 2     |

  Scenario: Jobs submitted at the same time are stored by one write
    When 12 callers submit a job at once
    Then 12 jobs are stored
    And 1 write was made

  Scenario Outline: An invalid submission is refused and stores nothing
    When the body <body> is submitted
    Then the status is 400 and the outcome not-run
    And the problem detail contains <found> and <expected>
    And 0 jobs are stored

    Examples:
      | body                                                    | found                | expected                                 |
      | nothing                                                 | b''                  | expected a JSON object                   |
      | [1]                                                     | found [1]            | expected                                 |
      | {"name": "plan"}                                        | team: found nothing  | expected a value                         |
      | {"name": "plan", "team": "feldkirch", "cores": -1}      | cores: found -1      | greater than 0                           |
      | {"name": "plan", "team": "feldkirch", "cores": 1e400}   | cores                | expected                                 |
      | {"name": "plan", "team": "feldkirch", "memory": "1GB"}  | memory: found '1GB'  | valid integer                            |
      | {"name": "plan", "team": "feldkirch", "urgency": "now"} | urgency: found 'now' | 'urgent', 'normal' or 'may-wait'         |
      | {"name": "plan", "team": "feldkirch", "colour": 1}      | colour: found 1      | no such key                              |
      | {"name": "a b", "team": "feldkirch"}                    | name: found 'a b'    | should match pattern                     |
      | {"name": "plan", "team": "lustenau"}                    | found 'lustenau'     | expected one of feldkirch                |
      | {"name": "plan", "team": "feldkirch", "cores": 64}      | cores: found 64      | at most 32 on the pool's largest worker  |
      | {"name": "plan", "team": "feldkirch", "cores": 20}      | cores: found 20      | at most 16 in the quota of team          |
      | {"jobs": []}                                            | jobs: found []       | at least 1 item                          |

  Scenario Outline: A cancellation races with the job's start or end
    When a job is submitted
    And the events are <order>
    Then the status is <status> and the job is <phase>, cancel requested: <requested>

    Examples:
      | order              | status | phase     | requested |
      | cancel             | 200    | cancelled | False     |
      | cancel, start      | 200    | cancelled | False     |
      | start, cancel      | 202    | starting  | True      |
      | cancel with start  | 202    | starting  | True      |
      | finish, cancel     | 409    | finished  | False     |
      | cancel, cancel     | 200    | cancelled | False     |

  Scenario: A cancellation is confirmed although the platform's answer to its write is lost
    When a job is submitted
    And the platform loses the answer of a write
    And the events are cancel
    Then the status is 200 and the job is cancelled, cancel requested: False

  Scenario: Many cancellations take few writes and don't block a submission
    When 12 callers submit a job at once
    And all of them cancel while a job is submitted
    Then 13 jobs are stored
    And at most 6 writes were made

  Scenario Outline: A job identifier is unknown or malformed
    When the job <job_id> is requested
    Then the status is <status>

    Examples:
      | job_id       | status |
      | 4f1c.0       | 404    |
      | 4f1c         | 400    |
      | ..%2Fx.0     | 400    |
      | a/b.0        | 400    |
      | 4f1c.9999999 | 400    |
