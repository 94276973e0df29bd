Feature: Declaration files are validated together before publication

  Scenario Outline: A fault is reported with its location, the found value and the expected one
    Given a directory with a valid service and a spare pool
    When the service's file has <line> in [<table>]
    Then the fault at <key> reports <found> and <expected>

    Examples:
      | line                        | table       | key                      | found                    | expected                  |
      | instances = 0               | pool        | pool.instances           | 0                        | greater than or equal     |
      | instances = "8"             | pool        | pool.instances           | '8'                      | integer                   |
      | instances = 9               | need        | need.instances           | 9                        | at most pool.instances    |
      | quantile = 1.5              | need        | need.quantile            | 1.5                      | less than or equal to 1   |
      | max_unavailable = 8         | budget      | budget.max_unavailable   | 8                        | at least one instance stays |
      | windows = ["25:00-26:00"]   | maintenance | maintenance.windows      | '25:00-26:00'            | pattern                   |
      | windows = ["03:00-03:10"]   | maintenance | maintenance.windows      | 03:00-03:10, 10 minutes  | duration_minutes          |
      | windows = []                | maintenance | maintenance.windows      | none                     | at least one window       |
      | duration_minutes = 720      | maintenance | maintenance.windows      | 180 minutes              | duration_minutes          |
      | period_days = 1             | maintenance | maintenance.windows      | fit 6 instances          | fit all 8 instances       |
      | time_limit = 7200.0         | requests    | requests.time_limit      | 7200.0                   | less than or equal        |
      | key_lifetime = 1.0          | requests    | requests.key_lifetime    | 1.0                      | at least requests.time    |
      | idempotent_paths = ["q"]    | requests    | requests.idempotent_paths | 'q'                     | begins with '/', such as  |
      | overflows = true            | requests    | requests.overflows       | True                     | no such key in this table |
      | default_class = "urgent"    | jobs        | jobs.default_class       | 'urgent'                 | one of jobs.classes       |
      | default_class = "soon"      | jobs        | jobs.default_class       | 'soon'                   | 'urgent', 'normal'        |
      | cores = -1                  | quota.atelier | quota.atelier.cores    | -1                       | greater than or equal     |

  Scenario Outline: A contradiction between files or an unreadable file is reported
    Given a directory with a valid service and a spare pool
    When <event>
    Then the fault at <key> reports <found> and <expected>

    Examples:
      | event                             | key                | found                   | expected             |
      | the spare pool's file is removed  | requests.overflow  | no spare pool           | pool.spare = true    |
      | the service is declared twice     | service            | service/lustenau, also declared in | a name declared only once |
      | the deployment is declared twice  | deployment         | deployment, also declared in | a name declared only once |
      | a file is not UTF-8               | file               | can't decode            | UTF-8 text           |
      | a file is not TOML                | syntax             | Invalid value           | TOML                 |
      | the deployment's view_bound is 1.0 | view_bound        | 1.0                     | greater than or equal to 4 |
      | a file has neither key            | service            | neither key             | service or deployment |
      | the spare pool declares overflow  | requests.overflow  | true                    | this pool is the spare |

  Scenario: All faults are reported at once
    Given a directory with a valid service and a spare pool
    When the service's file has instances = 0 in [pool]
    And a file is not TOML
    Then 2 faults are reported

  Scenario Outline: The example declarations are valid and set every table
    Then the example <name> has <services> valid services and one spare pool

    Examples:
      | name       | services |
      | lima       | 5        |
      | vorarlberg | 5        |
