Feature: Command lines
  Scenario Outline: Help texts and usage errors name the flags and settings
    When "<program>" is run with "<arguments>"
    Then the exit status is <status> and the output contains "<text>"

    Examples:
      | program | arguments       | status | text                                       |
      | entry   | --help          | 0      | --list-interval (PERIDOTSPOKE_LIST_INTERVAL, default 1.0): |
      | control | -h              | 0      | --lease-ttl (PERIDOTSPOKE_LEASE_TTL, default |
      | publish | --help          | 0      | check: Check the declarations.             |
      | publish | publish --help  | 0      | --directory (PERIDOTSPOKE_DIRECTORY, default '.'): |
      | audit   |                 | 2      | usage: peridotspoke-audit COMMAND          |
      | publish | polish          | 2      | polish                                     |
      | publish | check examples/lima | 0 | declarations are valid |
      | publish | check examples/lima examples | 2 | expected flags such as --name=value, found |
      | publish | status examples | 2 | expected flags such as --name=value, found |
      | entry   | --colour=red    | 2      | --colour: no such flag                     |
      | control | --zone=a x      | 2      | expected flags such as --name=value, found 'x' |
      | control | --zone=a        | 2      | --name / PERIDOTSPOKE_NAME: found nothing; expected name |

  Scenario Outline: All invalid settings are reported together
    Given the variable "PERIDOTSPOKE_<variable>" is "<value>"
    When "entry" is run with "--zone=a --stop-limit=soon"
    Then the exit status is 2 and the output contains "--stop-limit / PERIDOTSPOKE_STOP_LIMIT"
    And the output contains "<expected>"

    Examples:
      | variable         | value     | expected                                   |
      | LISTEN           | localhost | --listen / PERIDOTSPOKE_LISTEN             |
      | PLATFORM_TIMEOUT | -1        | limit of one call to the platform, seconds |
      | NAME             |           | --name / PERIDOTSPOKE_NAME                 |

  Scenario: Settings that contradict each other are rejected
    Given the variable "PERIDOTSPOKE_STOP_NOTICE" is "30"
    When "entry" is run with "--name=e --zone=a"
    Then the exit status is 2 and the output contains "--stop-notice / PERIDOTSPOKE_STOP_NOTICE: found 30, expected less than the stop limit of 30 seconds"
