Feature: Maintenance of instances interrupts no request
  A controller drains and reboots every instance of a pool while callers keep sending
  requests that are not idempotent and so cannot be retried.

  Scenario: A maintenance wave reboots all instances under load
    Given a pool of 3 instances that are due for maintenance
    And entry instances in two availability zones under a steady load
    When a controller maintains all 3 instances, whose executors restart at each reboot
    Then no request of the callers was interrupted
    And the audit trail lists each step of the maintenance of "i0" in order
