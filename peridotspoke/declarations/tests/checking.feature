Feature: Declarations are checked as a whole before anything is published

  Scenario Outline: A fault is told with its place, what was found and what is expected
    Given a directory with a valid service and a spare
    When <line> stands in [<table>] of the service's file
    Then the fault at <key> says <found> and <expected>

    Examples:
      | line                        | table       | key                      | found                    | expected                  |
      | instances = 0               | pool        | pool.instances           | 0                        | greater than or equal     |
      | instances = "8"             | pool        | pool.instances           | '8'                      | integer                   |
      | instances = 9               | need        | need.instances           | 9                        | at most pool.instances    |
      | quantile = 1.5              | need        | need.quantile            | 1.5                      | less than or equal to 1   |
      | max_unavailable = 8         | budget      | budget.max_unavailable   | 8                        | one is left               |
      | windows = ["25:00-26:00"]   | maintenance | maintenance.windows      | '25:00-26:00'            | pattern                   |
      | windows = ["03:00-03:10"]   | maintenance | maintenance.windows      | 03:00-03:10, 10 minutes  | duration_minutes          |
      | windows = []                | maintenance | maintenance.windows      | none                     | at least one window       |
      | duration_minutes = 720      | maintenance | maintenance.windows      | 180 minutes              | duration_minutes          |
      | period_days = 1             | maintenance | maintenance.windows      | time for 6 instances     | all 8 instances           |
      | time_limit = 7200.0         | requests    | requests.time_limit      | 7200.0                   | less than or equal        |
      | key_lifetime = 1.0          | requests    | requests.key_lifetime    | 1.0                      | at least requests.time    |
      | idempotent_paths = ["q"]    | requests    | requests.idempotent_paths | 'q'                     | a path such as            |
      | overflows = true            | requests    | requests.overflows       | True                     | no such key               |
      | default_class = "urgent"    | jobs        | jobs.default_class       | 'urgent'                 | one of jobs.classes       |
      | default_class = "soon"      | jobs        | jobs.default_class       | 'soon'                   | 'urgent', 'normal'        |
      | cores = -1                  | quota.atelier | quota.atelier.cores    | -1                       | greater than or equal     |

  Scenario Outline: Files are checked against each other
    Given a directory with a valid service and a spare
    When <event>
    Then the fault at <key> says <found> and <expected>

    Examples:
      | event                             | key                | found                   | expected             |
      | the spare's file is removed       | requests.overflow  | no spare pool           | pool.spare = true    |
      | the service is declared twice     | service            | service/lustenau        | a name used once     |
      | the deployment is declared twice  | deployment         | deployment              | a name used once     |
      | a file is not UTF-8               | file               | can't decode            | UTF-8 text           |
      | a file is not TOML                | syntax             | Invalid value           | TOML                 |
      | the deployment's view_bound is 1.0 | view_bound        | 1.0                     | greater than or equal to 4 |
      | a file has neither key            | service            | nothing                 | service or deployment |
      | the spare overflows               | requests.overflow  | true                    | this pool is the spare |

  Scenario: All faults are told at once
    Given a directory with a valid service and a spare
    When instances = 0 stands in [pool] of the service's file
    And a file is not TOML
    Then 2 faults are told

  Scenario Outline: The examples are complete
    Then the example <name> has <services> valid services and one spare

    Examples:
      | name       | services |
      | lima       | 5        |
      | vorarlberg | 5        |
